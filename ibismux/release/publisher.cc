#include "ibismux/release/publisher.h"

#include <glog/logging.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>
#include <utility>

#include "ibismux/release/housekeeping.h"
#include "ibismux/release/release_contents.h"
#include "ibismux/release/release_writer.h"

namespace ibismux::release {
namespace {

// How soon a daemon notices that its rank has changed.
constexpr std::chrono::seconds kRankCheck{1};
// How soon housekeeping that failed is tried again.
constexpr std::chrono::milliseconds kHousekeepingRetry{2000};

/// Waits that double from failure to failure.
class Backoff {
 public:
  explicit Backoff(const PublisherSettings& settings)
      : first(settings.first_retry), longest(settings.longest_retry) {}

  void reset() { this->next = this->first; }

  [[nodiscard]] std::chrono::milliseconds take() {
    const auto wait = std::max(this->next, this->first);
    this->next = std::min(wait * 2, this->longest);
    return wait;
  }

 private:
  std::chrono::milliseconds first;
  std::chrono::milliseconds longest;
  std::chrono::milliseconds next{0};
};

}  // namespace

class Publisher::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& loop,
       store::ObjectStore& store,
       ReleaseStore& releases,
       prometheus::Registry& registry,
       PublisherSettings settings,
       const Incarnation& self,
       Rank rank,
       WallClock wall_clock,
       WorkLoop work)
      : loop(loop),
        store(store),
        releases(releases),
        settings(settings),
        rank(std::move(rank)),
        metrics(registry),
        writer(store,
               releases,
               this->metrics,
               self.member + "/" + std::to_string(self.number),
               settings.call_timeout,
               std::move(wall_clock),
               {},
               work),
        housekeeping(store,
                     releases,
                     this->metrics,
                     settings.call_timeout,
                     settings.garbage_grace),
        work(work),
        timer(loop),
        backoff(settings) {}

  static Task<void> run(std::shared_ptr<Impl> self) {
    while (!self->stopped) {
      const bool watches = self->rank() < self->settings.watchers;
      if (watches) {
        co_await self->watch_turn();
      } else {
        co_await self->stand_by_turn();
      }
    }
  }

  /// On the loop.
  void nudge(const ObjectKey& key, store::Version version) {
    store::Version& waiting = this->nudges[key];
    waiting = std::max(waiting, version);
    if (this->standing_by) {
      this->timer.cancel();
    }
  }

  /// On the loop.
  void stop() {
    this->stopped = true;
    this->timer.cancel();
  }

  boost::asio::io_context& loop;

 private:
  Task<void> sleep(std::chrono::milliseconds wait) {
    if (this->stopped) {
      co_return;
    }
    this->timer.expires_after(wait);
    co_await this->timer.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
  }

  Task<void> watch_turn() {
    const bool was_watching = std::exchange(this->watching, true);
    if (!was_watching) {
      this->listed = false;
      this->housekeeping.sweep_next();
    }
    co_await this->pace();
    const Result<void> seen = co_await this->see();
    this->last_look = Clock::now();
    if (seen) {
      const Result<void> done = co_await this->publish();
      if (done) {
        this->backoff.reset();
        co_return;
      }
      this->failed("publish", done.error());
    } else {
      this->failed("watch", seen.error());
    }
    co_await this->sleep(this->backoff.take());
  }

  /// Without it, a bulk of writes would wake a watch and write a head for each,
  /// and use up this daemon's budget of calls to the platform.
  Task<void> pace() {
    const TimePoint next = this->last_look + this->settings.least_interval;
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(
        remaining(next, Clock::now()));
    if (this->listed && wait.count() > 0) {
      co_await this->sleep(wait);
    }
  }

  /// Brings the mirror up to date: waits for a change, unless there is work
  /// that the last turn couldn't finish.
  Task<Result<void>> see() {
    if (!this->listed) {
      co_return co_await this->list();
    }
    if (std::exchange(this->unfinished, false)) {
      co_return Result<void>();
    }
    std::string collection = store::kObjects;
    const auto wait =
        this->untidy ? kHousekeepingRetry : this->settings.watch_wait;
    const Result<store::WatchBatch> batch = co_await this->store.watch(
        std::move(collection), this->mirror.view().version, wait);
    if (!batch) {
      co_return tl::unexpected<Error>(batch.error());
    }
    if (batch->compacted) {
      co_return co_await this->list();
    }
    this->mirror.apply(*batch);
    this->forget_settled();
    if (batch->events.empty() && !this->nudges.empty()) {
      // The watch hears nothing, yet something was written through this daemon
      // and has no verdict: a watch can fall silent without an error. It shows
      // as a change that stays pending; a listing doesn't depend on watches.
      co_return co_await this->list();
    }
    co_return Result<void>();
  }

  Task<Result<void>> list() {
    std::string collection = store::kObjects;
    const Result<store::Listing> listing = co_await this->store.list(
        std::move(collection), Clock::now() + this->settings.call_timeout);
    if (!listing) {
      co_return tl::unexpected<Error>(listing.error());
    }
    this->mirror.reset(*listing);
    this->listed = true;
    co_return Result<void>();
  }

  /// Publishes until nothing is left to accept, then tidies up.
  Task<Result<void>> publish() {
    this->unfinished = true;
    const std::size_t place = std::min(this->rank(), this->settings.watchers);
    if (place > 0 && co_await this->differs()) {
      co_await this->sleep(this->settings.rank_step *
                           static_cast<std::int64_t>(place));
    }
    for (bool more = true; more && !this->stopped;) {
      const Result<bool> advanced = co_await this->writer.publish(
          this->mirror.view(), this->housekeeping.recorded());
      more = advanced && *advanced;
      const bool needs_audit =
          !advanced && advanced.error().kind == ErrorKind::kOverloaded;
      if (more || needs_audit || place == 0 || this->untidy) {
        co_await this->tidy();
      }
      if (!advanced) {
        co_return tl::unexpected<Error>(advanced.error());
      }
    }
    this->unfinished = false;
    co_return Result<void>();
  }

  Task<void> tidy() {
    this->housekeeping.retire(this->writer.take_retired());
    const Result<void> done =
        co_await this->housekeeping.run(this->mirror.view());
    this->untidy = !done;
    if (!done) {
      this->failed("tidy", done.error());
    }
  }

  /// Whether the mirror shows something that the release in force lacks.
  [[nodiscard]] Task<bool> differs() {
    const auto base = this->releases.contents();
    auto deciding = [this, &base] {
      return this->mirror.view().version >= base->head.objects_version &&
             decide(*base, this->mirror.view(), 0).differs;
    };
    co_return co_await run_on(this->work, deciding);
  }

  Task<void> stand_by_turn() {
    this->watching = false;
    this->standing_by = true;
    this->forget_settled();
    if (this->nudges.empty()) {
      co_await this->sleep(kRankCheck);
      this->standing_by = false;
      co_return;
    }
    this->standing_by = false;
    co_await this->sleep(this->settings.stand_by_wait);
    this->forget_settled();
    if (this->nudges.empty() || this->stopped) {
      co_return;
    }
    Result<void> done = co_await this->list();
    if (done) {
      done = co_await this->publish();
    }
    if (done) {
      this->nudges.clear();
      this->backoff.reset();
      co_return;
    }
    this->failed("publish", done.error());
    co_await this->sleep(this->backoff.take());
  }

  /// Drops the nudges whose writes have been accepted or rejected.
  void forget_settled() {
    const auto contents = this->releases.contents();
    std::erase_if(this->nudges, [&contents](const auto& nudge) {
      const auto& [key, version] = nudge;
      const auto accepted = contents->objects.find(key);
      const auto rejected = contents->rejections.find(key);
      return contents->head.objects_version >= version ||
             (accepted != contents->objects.end() &&
              accepted->second.version >= version) ||
             (rejected != contents->rejections.end() &&
              rejected->second.version >= version);
    });
  }

  void failed(const char* step, const Error& error) const {
    LOG(WARNING) << "event=publisher_failed step=" << step
                 << " error=" << error_entry(error.kind).name << " message=\""
                 << error.message << "\"";
  }

  store::ObjectStore& store;
  ReleaseStore& releases;
  const PublisherSettings settings;
  Rank rank;
  PublisherMetrics metrics;
  ReleaseWriter writer;
  Housekeeping housekeeping;
  WorkLoop work;
  boost::asio::steady_timer timer;
  Backoff backoff;
  ObjectMirror mirror;
  std::map<ObjectKey, store::Version> nudges;
  TimePoint last_look{};
  bool stopped = false;
  bool watching = false;
  bool standing_by = false;
  bool listed = false;
  bool unfinished = false;  ///< The last turn ended before all was published.
  bool untidy = false;      ///< Housekeeping failed last time.
};

Publisher::Publisher(boost::asio::io_context& loop,
                     store::ObjectStore& store,
                     ReleaseStore& releases,
                     prometheus::Registry& registry,
                     PublisherSettings settings,
                     const Incarnation& self,
                     Rank rank,
                     WallClock wall_clock,
                     WorkLoop work)
    : impl(std::make_shared<Impl>(loop,
                                  store,
                                  releases,
                                  registry,
                                  settings,
                                  self,
                                  std::move(rank),
                                  std::move(wall_clock),
                                  work)) {}

Publisher::~Publisher() {
  this->stop();
}

void Publisher::start() {
  boost::asio::co_spawn(this->impl->loop, Impl::run(this->impl),
                        boost::asio::detached);
}

void Publisher::nudge(const ObjectKey& key, store::Version version) {
  boost::asio::post(this->impl->loop, [impl = this->impl, key, version] {
    impl->nudge(key, version);
  });
}

void Publisher::stop() {
  boost::asio::post(this->impl->loop, [impl = this->impl] { impl->stop(); });
}

}  // namespace ibismux::release
