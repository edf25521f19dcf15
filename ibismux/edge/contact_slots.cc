#include "ibismux/edge/contact_slots.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cmath>
#include <pcg_random.hpp>
#include <random>
#include <utility>

#include "ibismux/eventlog/event_log.h"
#include "ibismux/http/socket.h"
#include "ibismux/membership/member_record.h"

namespace ibismux::edge {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr std::uint64_t kSlotSalt = 53;
// The delay lets a daemon join the others through existing contact entries. It
// is random so that, when a whole fleet starts at once, the entries of the
// first daemons are visible to the rest.
constexpr milliseconds kMinFirstCheckDelay{500};
constexpr milliseconds kMaxFirstCheckDelay{2500};
// Only starting daemons need contacts, and a failed contact is one of several,
// so rare checks are enough.
constexpr milliseconds kMinCheckInterval{8'000};
constexpr milliseconds kMaxCheckInterval{12'000};
constexpr milliseconds kStoreTimeout{1500};
// An error of this fraction in the share of connections is absorbed by the
// part of the share that stays unused.
constexpr double kSizeTolerance = 0.1;

std::string slot_name(std::size_t slot) {
  return "contact-" + std::to_string(slot);
}

}  // namespace

std::optional<std::size_t> slot_of(const membership::MembershipView& view) {
  const std::uint64_t own = membership::name_hash(view.self, kSlotSalt);
  if (view.serving() <= 1) {
    return own % kContactSlots;
  }
  const auto before = std::count_if(
      view.members.begin(), view.members.end(), [&](const auto& member) {
        return member.serves() &&
               membership::name_hash(member.name, kSlotSalt) < own;
      });
  const auto rank = static_cast<std::size_t>(before);
  return rank < kContactSlots ? std::optional(rank) : std::nullopt;
}

bool should_replace(const store::HostEntry& fresh,
                    const store::HostEntry& stored) {
  if (fresh.name != stored.name || fresh.peer_address != stored.peer_address ||
      fresh.zone != stored.zone) {
    return true;
  }
  const auto now = static_cast<double>(total_of(fresh.fleet));
  const auto before = static_cast<double>(total_of(stored.fleet));
  return std::abs(now - before) > kSizeTolerance * before;
}

ContactSlots::ContactSlots(asio::io_context& loop,
                           store::ObjectStore& store,
                           std::string collection,
                           Self self,
                           ViewSource view,
                           eventlog::EventLog& log)
    : loop(loop),
      store(store),
      collection(std::move(collection)),
      self(std::move(self)),
      view(std::move(view)),
      log(log) {}

void ContactSlots::start(std::uint64_t seed) {
  asio::co_spawn(this->loop, run(this->shared_from_this(), seed),
                 asio::detached);
}

Task<void> ContactSlots::run(std::shared_ptr<ContactSlots> self,
                             std::uint64_t seed) {
  pcg32 random(seed);
  const auto between = [&random](milliseconds least, milliseconds most) {
    return milliseconds(std::uniform_int_distribution<std::int64_t>(
        least.count(), most.count())(random));
  };
  http::Timer timer(self->loop.get_executor());
  timer.expires_after(between(kMinFirstCheckDelay, kMaxFirstCheckDelay));
  for (bool first = true;; first = false) {
    co_await timer.async_wait(asio::use_awaitable);
    co_await check(self, first);
    const bool alone = self->view().serving() <= 1;
    timer.expires_after(alone
                            ? between(kMinFirstCheckDelay, kMaxFirstCheckDelay)
                            : between(kMinCheckInterval, kMaxCheckInterval));
  }
}

store::HostEntry ContactSlots::entry(
    const membership::MembershipView& view) const {
  return {.name = this->self.name,
          .peer_address = this->self.endpoint,
          .zone = this->self.zone,
          .fleet = view.serving_by_zone()};
}

Task<void> ContactSlots::check(std::shared_ptr<ContactSlots> self, bool first) {
  const membership::MembershipView view = self->view();
  const auto slot = slot_of(view);
  if (!slot) {
    co_return;
  }
  const std::string name = slot_name(*slot);
  const auto stored = co_await self->store.stale_get(
      self->collection, name, Clock::now() + kStoreTimeout);
  const bool absent = !stored && stored.error().kind == ErrorKind::kNotFound;
  if (!stored && !absent) {
    co_return;
  }
  const store::HostEntry fresh = self->entry(view);
  // When a whole fleet starts at once, each daemon knows only itself at first.
  // Writing its entry then would replace the entry of a daemon that the others
  // are about to discover. An entry of a daemon that is gone is replaced at the
  // next check if this daemon still knows no other.
  const bool keep_stored = first && view.serving() <= 1;
  if (stored && (keep_stored || !self->replaces(fresh, *stored))) {
    co_return;
  }
  const store::Version expected = stored ? stored->version : 0;
  const auto written =
      co_await self->store.put(self->collection, name, store::encode(fresh),
                               expected, Clock::now() + kStoreTimeout);
  // The next check retries a write that was lost or that conflicted with a
  // newer version.
  self->log.event(eventlog::Weight::kBelief, "contact_written")
      .with("slot", *slot)
      .with("hosts", total_of(fresh.fleet))
      .with("done", written.has_value())
      .with("reason", written ? "" : written.error().message);
}

bool ContactSlots::replaces(const store::HostEntry& fresh,
                            const store::StoredObject& stored) {
  const auto known = store::decode_host_entry(stored.value);
  if (!known) {
    this->log.event(eventlog::Weight::kBelief, "contact_unreadable")
        .with("slot", stored.name)
        .with("reason", known.error().message);
    return true;
  }
  return should_replace(fresh, *known);
}

}  // namespace ibismux::edge
