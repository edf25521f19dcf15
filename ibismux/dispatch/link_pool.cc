#include "ibismux/dispatch/link_pool.h"

#include <algorithm>
#include <random>
#include <utility>

#include "ibismux/directory/leaf_entry.h"

namespace ibismux::dispatch {

namespace {

using std::chrono::milliseconds;

// Backoff between dials to a leaf that resets connections: requests of callers
// take some tenths of a second, and so does the queue of a leaf to drain.
constexpr milliseconds kMinDialPause{200};
constexpr milliseconds kMaxDialPause{1600};

}  // namespace

LinkPool::LinkPool(const LeafConnector& connector, std::uint64_t seed)
    : connector(connector), random(seed) {}

void LinkPool::grant(LinkGrant grant) {
  this->current_grant = grant;
  if (!grant.keep) {
    this->close_idle();
  }
}

void LinkPool::set_closed(bool closed) noexcept {
  this->closed = closed;
  if (closed) {
    this->close_idle();
  }
}

void LinkPool::close_idle() noexcept {
  this->open_links -= this->idle.size();
  this->idle.clear();
}

bool LinkPool::needs_link(TimePoint now) {
  const std::size_t dropped =
      std::erase_if(this->idle, [&](const IdleLink& idle_link) {
        if (idle_link.link->usable()) {
          return false;
        }
        if (!idle_link.used) {
          this->reopen.on_unused_end(now);
        }
        return true;
      });
  this->open_links -= dropped;
  return !this->closed && this->current_grant.open_ahead &&
         this->open_links == 0 && !this->is_at_connection_limit(now) &&
         this->reopen.is_over(now);
}

std::optional<LinkPool::Acquired> LinkPool::take_idle() {
  while (!this->idle.empty()) {
    IdleLink last = std::move(this->idle.back());
    this->idle.pop_back();
    if (last.link->usable()) {
      return Acquired{std::move(last.link), !last.used};
    }
    --this->open_links;
  }
  return std::nullopt;
}

Task<Result<LinkPool::Acquired>> LinkPool::dial(
    const directory::LeafEntry& entry,
    TimePoint deadline) {
  ++this->open_links;
  auto link = this->connector.make(entry);
  auto opened = co_await link->open(deadline);
  if (!opened) {
    --this->open_links;
    opened.error().execution = Execution::kNotRun;
    co_return tl::unexpected(std::move(opened.error()));
  }
  co_return Acquired{std::move(link), true};
}

void LinkPool::give_back(std::unique_ptr<LeafLink> link, bool used) {
  if (used) {
    this->reopen.on_use();
  }
  if (this->closed || !this->current_grant.keep || !link->usable()) {
    --this->open_links;
    return;
  }
  this->idle.push_back({std::move(link), used});
}

Duration LinkPool::note_connection_limit(TimePoint now) {
  this->backoff =
      std::clamp<Duration>(this->backoff * 2, kMinDialPause, kMaxDialPause);
  const double jitter =
      std::uniform_real_distribution<double>(0.5, 1)(this->random);
  const Duration pause = scaled(this->backoff, jitter);
  this->no_dial_before = now + pause;
  return pause;
}

}  // namespace ibismux::dispatch
