#include "ibismux/relay/release_watch.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <random>
#include <utility>

#include "ibismux/relay/release_fetcher.h"
#include "ibismux/release/head.h"
#include "ibismux/store/object_store.h"

namespace ibismux::relay {

namespace {

constexpr auto kAwait = boost::asio::as_tuple(boost::asio::use_awaitable);

/// A random duration between half of `pause` and `pause`.
Duration jittered(Duration pause) {
  thread_local std::minstd_rand source{std::random_device{}()};
  std::uniform_real_distribution<double> part(0.5, 1.0);
  return std::chrono::duration_cast<Duration>(pause * part(source));
}

}  // namespace

ReleaseWatch::ReleaseWatch(const RelaySettings& settings,
                           boost::asio::io_context& loop,
                           store::ObjectStore& platform,
                           ReleaseFetcher& fetcher)
    : settings(settings),
      loop(loop),
      platform(platform),
      fetcher(fetcher),
      timer(loop) {}

void ReleaseWatch::start(Listener listener) {
  this->listener = std::move(listener);
  boost::asio::co_spawn(this->loop, run(this->shared_from_this()),
                        boost::asio::detached);
}

void ReleaseWatch::stop() {
  this->stopped = true;
  this->timer.cancel();
}

void ReleaseWatch::set_active(bool active) {
  if (!this->enabled.exchange(active) && active) {
    this->timer.cancel();
  }
}

Task<void> ReleaseWatch::sleep(Self self, Duration pause) {
  self->timer.expires_after(pause);
  const auto [cancelled] = co_await self->timer.async_wait(kAwait);
  static_cast<void>(cancelled);
}

Task<void> ReleaseWatch::run(Self self) {
  std::optional<store::Version> since;
  Duration pause = self->settings.min_watch_retry_delay;
  while (!self->stopped) {
    if (!self->enabled) {
      since.reset();
      co_await sleep(self, self->settings.compare_interval);
      continue;
    }
    const auto next = co_await step(self, since);
    if (next) {
      since = *next;
      pause = self->settings.min_watch_retry_delay;
      self->listener({});
      continue;
    }
    since.reset();
    self->listener(tl::unexpected<Error>(next.error()));
    co_await sleep(self, jittered(pause));
    pause = std::min<Duration>(pause * 2, self->settings.max_watch_retry_delay);
  }
}

/// Runs one watch, or the initial read if `since` is empty. @return The version
/// from which to watch next.
Task<Result<store::Version>> ReleaseWatch::step(
    Self self,
    std::optional<store::Version> since) {
  if (!since) {
    co_return co_await self->fetcher.fetch_from_platform();
  }
  std::string collection = store::kReleases;
  auto batch = co_await self->platform.watch(std::move(collection), *since,
                                             self->settings.watch_wait);
  if (!batch) {
    co_return tl::unexpected<Error>(batch.error());
  }
  if (batch->compacted) {
    co_return fail(ErrorKind::kPlatformUnavailable, "the history is gone");
  }
  const store::Version version = batch->version;
  std::string head;
  for (const auto& event : batch->events) {
    if (event.object.name == release::kHeadName && !event.removed) {
      head = event.object.value;  // The last one is the newest.
    }
  }
  if (!head.empty()) {
    const auto applied = co_await self->fetcher.apply_from_platform(
        std::move(head), std::move(*batch));
    if (!applied) {
      co_return tl::unexpected<Error>(applied.error());
    }
  }
  co_return version;
}

}  // namespace ibismux::relay
