#include "ibismux/edge/contact_slots.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
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
// Time to meet the others by the contacts that stand there already, and spread,
// so that of a fleet that starts at once the first ones are seen by the rest.
constexpr milliseconds kFirstCheckLeast{500};
constexpr milliseconds kFirstCheckMost{2500};
// Contacts matter to daemons that start; one that died is one of several.
constexpr milliseconds kCheckLeast{8'000};
constexpr milliseconds kCheckMost{12'000};
constexpr milliseconds kCallTime{1500};

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
      value(boost::json::serialize(
          boost::json::value{{"name", this->self.name},
                             {"peer_address", this->self.endpoint},
                             {"zone", this->self.zone},
                             {"leaving", false}})),
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
  timer.expires_after(between(kFirstCheckLeast, kFirstCheckMost));
  for (;;) {
    co_await timer.async_wait(asio::use_awaitable);
    if (const auto slot = slot_of(self->view())) {
      co_await check(self, *slot);
    }
    timer.expires_after(between(kCheckLeast, kCheckMost));
  }
}

Task<void> ContactSlots::check(std::shared_ptr<ContactSlots> self,
                               std::size_t slot) {
  const std::string name = slot_name(slot);
  const auto standing = co_await self->store.stale_get(
      self->collection, name, Clock::now() + kCallTime);
  const bool absent =
      !standing && standing.error().kind == ErrorKind::kNotFound;
  if ((!standing && !absent) || (standing && standing->value == self->value)) {
    co_return;
  }
  const store::Version expected = standing ? standing->version : 0;
  const auto written = co_await self->store.put(
      self->collection, name, self->value, expected, Clock::now() + kCallTime);
  // A write that was lost or that met a newer one is looked at again next time.
  self->log.event(eventlog::Weight::kBelief, "contact_written")
      .with("slot", slot)
      .with("done", written.has_value())
      .with("reason", written ? "" : written.error().message);
}

}  // namespace ibismux::edge
