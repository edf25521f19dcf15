#include "ibismux/store/store_exchange.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <random>
#include <utility>

#include "ibismux/base/io_pool.h"

namespace ibismux::store {

namespace {

namespace asio = boost::asio;

Error not_sent(std::string message, Duration wait) {
  const auto most = std::chrono::duration_cast<Duration>(std::chrono::hours(1));
  return {ErrorKind::kPlatformUnavailable, std::move(message),
          Execution::kNotRun,
          std::chrono::ceil<std::chrono::milliseconds>(std::min(wait, most))};
}

}  // namespace

StoreExchange::StoreExchange(IoPool& pool,
                             PlatformSettings settings,
                             std::shared_ptr<const StoreDialect> dialect,
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

Task<Result<StoreAnswer>> StoreExchange::call(Self self,
                                              CallKind kind,
                                              http::Request request,
                                              TimePoint deadline) {
  const auto executor = self->loop.get_executor();
  auto running = exchange(self, kind, std::move(request), deadline);
  auto answer = co_await asio::co_spawn(executor, std::move(running),
                                        asio::use_awaitable);
  co_return answer;
}

Task<Result<StoreAnswer>> StoreExchange::timed_call(Self self,
                                                    CallKind kind,
                                                    http::Request request,
                                                    TimePoint deadline) {
  const TimePoint latest = Clock::now() + self->settings.call_timeout;
  return call(std::move(self), kind, std::move(request),
              std::min(deadline, latest));
}

Task<Result<StoreAnswer>> StoreExchange::watch(Self self,
                                               http::Request request,
                                               std::chrono::milliseconds wait) {
  const TimePoint deadline = Clock::now() + wait + self->settings.watch_grace;
  return call(std::move(self), CallKind::kWatch, std::move(request), deadline);
}

bool StoreExchange::is_of_earlier_era(Version version) const noexcept {
  return version != 0 &&
         era_of(version) < this->newest_era.load(std::memory_order_relaxed);
}

void StoreExchange::set_members(const Self& self, std::size_t members) {
  asio::post(self->loop, [self, members] {
    self->budget.set_rates(share_of(self->settings.budget, members),
                           Clock::now());
  });
}

Task<Result<StoreAnswer>> StoreExchange::exchange(Self self,
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
  const std::uint64_t era = response ? self->read_era(*response, outcome) : 0;
  self->conclude(kind, outcome, begin, now);
  if (outcome.result != CallResult::kOk) {
    co_return tl::unexpected(std::move(outcome.error));
  }
  co_return StoreAnswer{*std::move(response), era};
}

std::uint64_t StoreExchange::read_era(const http::Response& response,
                                      CallOutcome& outcome) {
  auto era = this->dialect->read_era(response);
  if (era) {
    this->newest_era = std::max(this->newest_era.load(), *era);
  } else if (outcome.result == CallResult::kOk) {
    outcome.result = CallResult::kMalformed;
    outcome.error = std::move(era.error());
  }
  return era.value_or(0);
}

Result<void> StoreExchange::admit(CallKind kind, TimePoint now) {
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

void StoreExchange::conclude(CallKind kind,
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
  this->last_state.store(this->health.state(), std::memory_order_relaxed);
  this->metrics.set_state(this->health.state());
  this->metrics.count(kind, outcome.result, now - begin);
}

// Not the business of a destructor: a coroutine that is destroyed with its
// event loop may outlive the metrics' registry.
void StoreExchange::count_waiting(CallKind kind, int change) {
  if (kind == CallKind::kWatch) {
    this->metrics.add_waiting(change);
  }
}

double StoreExchange::jitter() {
  return std::uniform_real_distribution<double>(0, 1)(this->random);
}

}  // namespace ibismux::store
