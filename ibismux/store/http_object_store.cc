#include "ibismux/store/http_object_store.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <iterator>
#include <pcg_random.hpp>
#include <random>
#include <utility>

#include "ibismux/base/io_pool.h"
#include "ibismux/http/client_pool.h"
#include "ibismux/http/message.h"
#include "ibismux/store/call_budget.h"
#include "ibismux/store/call_metrics.h"
#include "ibismux/store/call_outcome.h"
#include "ibismux/store/wire.h"

namespace ibismux::store {

namespace {

namespace asio = boost::asio;

constexpr int kGoneStatus = 410;

Error not_sent(std::string message, Duration wait) {
  const auto most = std::chrono::duration_cast<Duration>(std::chrono::hours(1));
  return {ErrorKind::kPlatformUnavailable, std::move(message),
          Execution::kNotRun,
          std::chrono::ceil<std::chrono::milliseconds>(std::min(wait, most))};
}

}  // namespace

class HttpObjectStore::Impl {
 public:
  Impl(IoPool& pool,
       PlatformSettings settings,
       std::unique_ptr<const StoreDialect> dialect,
       prometheus::Registry& registry,
       std::uint64_t seed)
      : loop(pool.at(0)),
        settings(std::move(settings)),
        dialect(std::move(dialect)),
        client(this->settings.address,
               this->settings.port,
               this->settings.idle_connections,
               {.silence_limit = this->settings.silence_limit}),
        budget(share_of(this->settings.budget, this->settings.members),
               Clock::now()),
        health(this->settings.health),
        metrics(registry),
        random(seed) {}

  /// One exchange on the store's loop.
  /// @return A response with status 200 or 410, or what went wrong.
  static Task<Result<http::Response>> call(std::shared_ptr<Impl> self,
                                           CallKind kind,
                                           http::Request request,
                                           TimePoint deadline) {
    const auto executor = self->loop.get_executor();
    auto running = exchange(self, kind, std::move(request), deadline);
    auto response = co_await asio::co_spawn(executor, std::move(running),
                                            asio::use_awaitable);
    co_return response;
  }

  /// A call that isn't a watch, within the longest time for one.
  static Task<Result<http::Response>> timed_call(std::shared_ptr<Impl> self,
                                                 CallKind kind,
                                                 http::Request request,
                                                 TimePoint deadline) {
    const TimePoint latest = Clock::now() + self->settings.call_timeout;
    return call(std::move(self), kind, std::move(request),
                std::min(deadline, latest));
  }

  /// Sends a `request` for one object, and reads the answer.
  static Task<Result<StoredObject>> read_object(std::shared_ptr<Impl> self,
                                                std::string collection,
                                                std::string name,
                                                http::Request request,
                                                TimePoint deadline) {
    auto response = co_await timed_call(self, CallKind::kRead,
                                        std::move(request), deadline);
    if (!response) {
      co_return tl::unexpected(std::move(response.error()));
    }
    auto object = self->dialect->read_object(collection, name, *response);
    if (object) {
      object->version = make_version(self->era(*response), object->version);
    }
    co_return object;
  }

  /// How a part of a listing is asked for.
  using PartRequest = http::Request (StoreDialect::*)(std::string_view,
                                                      std::string_view) const;

  /// The era of an answer that was taken.
  [[nodiscard]] std::uint64_t era(const http::Response& response) const {
    return this->dialect->read_era(response).value_or(0);
  }

  /// Whether the store was restored since it gave out `version`, as far as is
  /// known.
  [[nodiscard]] bool is_of_earlier_era(Version version) const noexcept {
    return version != 0 &&
           era_of(version) < this->newest_era.load(std::memory_order_relaxed);
  }

  /// Sends a write on the condition that the object is at `expected`.
  static Task<Result<http::Response>> conditional_write(
      std::shared_ptr<Impl> self,
      http::Request request,
      Version expected,
      TimePoint deadline);

  /// Reads a listing part by part.
  static Task<Result<Listing>> read_listing(std::shared_ptr<Impl> self,
                                            std::string collection,
                                            PartRequest part,
                                            TimePoint deadline);

  void set_members(std::size_t members) {
    this->budget.set_rates(share_of(this->settings.budget, members),
                           Clock::now());
  }

  asio::io_context& loop;
  const PlatformSettings settings;
  const std::unique_ptr<const StoreDialect> dialect;
  std::atomic<PlatformState> state{PlatformState::kUp};
  std::atomic<std::uint64_t> newest_era{0};

 private:
  static Task<Result<http::Response>> exchange(std::shared_ptr<Impl> self,
                                               CallKind kind,
                                               http::Request request,
                                               TimePoint deadline) {
    const TimePoint begin = Clock::now();
    auto admitted = self->admit(kind, begin);
    if (!admitted) {
      co_return tl::unexpected(std::move(admitted.error()));
    }
    self->count_waiting(kind, 1);
    auto response = co_await self->client.send(std::move(request), deadline);
    self->count_waiting(kind, -1);
    const TimePoint now = Clock::now();
    auto outcome = response
                       ? outcome_of(*response, self->dialect->conflict_status())
                       : outcome_of(response.error(), now - begin,
                                    self->settings.health.slow_after);
    if (response) {
      self->note_era(*response, outcome);
    }
    self->conclude(kind, outcome, begin, now);
    if (outcome.result != CallResult::kOk) {
      co_return tl::unexpected(std::move(outcome.error));
    }
    co_return response;
  }

  /// An answer whose era can't be read is none.
  void note_era(const http::Response& response, CallOutcome& outcome) {
    auto era = this->dialect->read_era(response);
    if (era) {
      this->newest_era = std::max(this->newest_era.load(), *era);
    } else if (outcome.result == CallResult::kOk) {
      outcome.result = CallResult::kMalformed;
      outcome.error = std::move(era.error());
    }
  }

  Result<void> admit(CallKind kind, TimePoint now) {
    if (!this->health.admit(now, this->jitter())) {
      this->metrics.count(kind, CallResult::kBackedOff, {});
      return tl::unexpected(
          not_sent("platform is down", this->health.retry_after(now)));
    }
    if (!this->budget.take(kind, now)) {
      this->metrics.count(kind, CallResult::kOverBudget, {});
      return tl::unexpected(not_sent("budget of platform calls is spent",
                                     this->budget.until_next(kind, now)));
    }
    return {};
  }

  void conclude(CallKind kind,
                const CallOutcome& outcome,
                TimePoint begin,
                TimePoint now) {
    if (outcome.health == CallOutcome::Health::kGood) {
      this->health.succeeded();
    } else if (outcome.health == CallOutcome::Health::kBad) {
      this->health.failed(now, this->jitter());
    }
    if (outcome.result == CallResult::kRateLimited) {
      this->budget.rate_limited(kind, now);
    } else if (outcome.health == CallOutcome::Health::kGood) {
      this->budget.taken(kind, now);
    }
    this->state.store(this->health.state(), std::memory_order_relaxed);
    this->metrics.set_state(this->health.state());
    this->metrics.count(kind, outcome.result, now - begin);
  }

  // Not the business of a destructor: a coroutine that is destroyed with its
  // event loop may outlive the metrics' registry.
  void count_waiting(CallKind kind, int change) {
    if (kind == CallKind::kWatch) {
      this->metrics.add_waiting(change);
    }
  }

  double jitter() {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
  }

  http::ClientPool client;
  CallBudget budget;
  PlatformHealth health;
  CallMetrics metrics;
  pcg32 random;
};

HttpObjectStore::HttpObjectStore(IoPool& pool,
                                 PlatformSettings settings,
                                 std::unique_ptr<const StoreDialect> dialect,
                                 prometheus::Registry& registry,
                                 std::uint64_t seed)
    : impl(std::make_shared<Impl>(pool,
                                  std::move(settings),
                                  std::move(dialect),
                                  registry,
                                  seed)) {}

HttpObjectStore::~HttpObjectStore() = default;

Task<Result<StoredObject>> HttpObjectStore::get(std::string collection,
                                                std::string name,
                                                TimePoint deadline) {
  auto request = this->impl->dialect->get(collection, name);
  return Impl::read_object(this->impl, std::move(collection), std::move(name),
                           std::move(request), deadline);
}

Task<Result<Listing>> HttpObjectStore::list(std::string collection,
                                            TimePoint deadline) {
  return Impl::read_listing(this->impl, std::move(collection),
                            &StoreDialect::list, deadline);
}

Task<Result<Listing>> HttpObjectStore::stale_list(std::string collection,
                                                  TimePoint deadline) {
  return Impl::read_listing(this->impl, std::move(collection),
                            &StoreDialect::stale_list, deadline);
}

Task<Result<Listing>> HttpObjectStore::Impl::read_listing(
    std::shared_ptr<Impl> self,
    std::string collection,
    PartRequest part,
    TimePoint deadline) {
  Listing whole;
  std::string after;
  for (;;) {
    auto request = ((*self->dialect).*part)(collection, after);
    auto response = co_await timed_call(self, CallKind::kRead,
                                        std::move(request), deadline);
    if (!response) {
      co_return tl::unexpected(std::move(response.error()));
    }
    auto page = self->dialect->read_listing(collection, *response);
    if (!page) {
      co_return tl::unexpected(std::move(page.error()));
    }
    const std::uint64_t era = self->era(*response);
    page->listing.version = make_version(era, page->listing.version);
    for (StoredObject& object : page->listing.objects) {
      object.version = make_version(era, object.version);
    }
    if (!after.empty() && era != era_of(whole.version)) {
      co_return fail(ErrorKind::kPlatformUnavailable,
                     "restored while it was listed");
    }
    // The whole is as old as its first part: a watch from there on repeats
    // what changed while the other parts were read, and misses nothing.
    if (after.empty()) {
      whole.version = page->listing.version;
    }
    std::move(page->listing.objects.begin(), page->listing.objects.end(),
              std::back_inserter(whole.objects));
    if (!page->next_after) {
      co_return whole;
    }
    if (*page->next_after <= after) {
      co_return fail(ErrorKind::kProtocolError, "a listing that goes back");
    }
    after = *std::move(page->next_after);
  }
}

Task<Result<http::Response>> HttpObjectStore::Impl::conditional_write(
    std::shared_ptr<Impl> self,
    http::Request request,
    Version expected,
    TimePoint deadline) {
  if (self->is_of_earlier_era(expected)) {
    co_return tl::unexpected(Error{ErrorKind::kConflict,
                                   "the store was restored since",
                                   Execution::kNotRun});
  }
  auto response =
      co_await timed_call(self, CallKind::kWrite, std::move(request), deadline);
  if (response && expected != 0 && self->era(*response) != era_of(expected)) {
    // The condition named a revision of the former era, which may be another
    // write's now.
    co_return fail(ErrorKind::kPlatformUnavailable,
                   "restored since the object was read");
  }
  co_return response;
}

Task<Result<WatchBatch>> HttpObjectStore::watch(
    std::string collection,
    Version since,
    std::chrono::milliseconds wait) {
  if (this->state() == PlatformState::kDown) {
    // This watch is to be the probe: one that waits at a platform that is up
    // again but quiet would leave the other calls refused meanwhile.
    wait = std::chrono::milliseconds::zero();
  }
  WatchBatch gone;
  gone.version = since;
  gone.compacted = true;
  if (this->impl->is_of_earlier_era(since)) {
    co_return gone;
  }
  auto request =
      this->impl->dialect->watch(collection, revision_of(since), wait);
  const TimePoint deadline =
      Clock::now() + wait + this->impl->settings.watch_grace;
  auto response = co_await Impl::call(this->impl, CallKind::kWatch,
                                      std::move(request), deadline);
  if (!response) {
    co_return tl::unexpected(std::move(response.error()));
  }
  // A store that was restored takes a watch up once it has given out the
  // revision again, and tells nothing of what it holds instead of the lost.
  const std::uint64_t era = this->impl->era(*response);
  if (response->status == kGoneStatus || era != era_of(since)) {
    co_return gone;
  }
  auto batch = this->impl->dialect->read_watch(collection, revision_of(since),
                                               *response);
  if (batch) {
    batch->version = make_version(era, batch->version);
    for (WatchBatch::Event& event : batch->events) {
      event.object.version = make_version(era, event.object.version);
    }
  }
  co_return batch;
}

Task<Result<std::vector<HostEntry>>> HttpObjectStore::hosts(
    TimePoint deadline) {
  auto request = this->impl->dialect->hosts();
  if (!request) {
    co_return fail(ErrorKind::kNotFound, "this API has no list of hosts");
  }
  auto response = co_await Impl::timed_call(this->impl, CallKind::kRead,
                                            *std::move(request), deadline);
  if (!response) {
    co_return tl::unexpected(std::move(response.error()));
  }
  co_return this->impl->dialect->read_hosts(*response);
}

Task<Result<StoredObject>> HttpObjectStore::stale_get(std::string collection,
                                                      std::string name,
                                                      TimePoint deadline) {
  auto request = this->impl->dialect->stale_get(collection, name);
  return Impl::read_object(this->impl, std::move(collection), std::move(name),
                           std::move(request), deadline);
}

Task<Result<Version>> HttpObjectStore::put(std::string collection,
                                           std::string name,
                                           std::string value,
                                           Version expected,
                                           TimePoint deadline) {
  if (value.size() > wire::kMostValueBytes ||
      name.size() > wire::kMostNameBytes) {
    co_return tl::unexpected(Error{ErrorKind::kTooLarge,
                                   "over the platform's limit: " + name,
                                   Execution::kNotRun});
  }
  auto request = this->impl->dialect->put(collection, name, std::move(value),
                                          revision_of(expected));
  auto response = co_await Impl::conditional_write(
      this->impl, std::move(request), expected, deadline);
  if (!response) {
    co_return tl::unexpected(std::move(response.error()));
  }
  auto version = this->impl->dialect->read_written(*response);
  if (version) {
    *version = make_version(this->impl->era(*response), *version);
  }
  if (version && *version <= expected) {
    // It says done, but as a version that can't be: the writer reads back.
    co_return fail(ErrorKind::kProtocolError, "version went back: " + name);
  }
  co_return version;
}

Task<Result<void>> HttpObjectStore::remove(std::string collection,
                                           std::string name,
                                           Version expected,
                                           TimePoint deadline) {
  auto request =
      this->impl->dialect->remove(collection, name, revision_of(expected));
  auto response = co_await Impl::conditional_write(
      this->impl, std::move(request), expected, deadline);
  if (!response) {
    co_return tl::unexpected(std::move(response.error()));
  }
  co_return Result<void>();
}

PlatformState HttpObjectStore::state() const noexcept {
  return this->impl->state.load(std::memory_order_relaxed);
}

void HttpObjectStore::set_members(std::size_t members) {
  asio::post(this->impl->loop,
             [impl = this->impl, members] { impl->set_members(members); });
}

}  // namespace ibismux::store
