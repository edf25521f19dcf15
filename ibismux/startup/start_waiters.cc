#include "ibismux/startup/start_waiters.h"

#include <prometheus/family.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace ibismux::startup {

namespace {

constexpr auto kAwait = boost::asio::as_tuple(boost::asio::use_awaitable);

}  // namespace

StartWaiters::StartWaiters(boost::asio::io_context& loop,
                           StartGate::Settings settings,
                           TimePoint started,
                           prometheus::Registry& registry)
    : loop(loop), gate(settings, started) {
  auto& family =
      prometheus::BuildCounter()
          .Name("ibismux_start_requests_total")
          .Help("Requests that lacked something after the daemon's start.")
          .Register(registry);
  const std::array<const char*, kNeeds> names{"configuration", "rate_owners"};
  for (std::size_t i = 0; i < kNeeds; ++i) {
    this->counters[i] = {
        &family.Add({{"need", names[i]}, {"result", "held"}}),
        &family.Add({{"need", names[i]}, {"result", "refused"}})};
  }
}

Task<StartWaiters::Result> StartWaiters::wait(Need need,
                                              TimePoint latest_start,
                                              std::size_t bytes,
                                              std::function<bool()> is_met) {
  const StartGate::Decision decision =
      this->gate.decide(need, latest_start, bytes, Clock::now());
  const Counters& counted = this->counters[static_cast<std::size_t>(need)];
  if (!decision.wait_until) {
    if (decision.is_starting) {
      counted.refused->Increment();
    }
    co_return Result{false, decision.retry_after};
  }
  counted.held->Increment();
  http::Timer timer(this->loop.get_executor());
  const auto place = this->timers.insert(this->timers.end(), &timer);
  while (!this->closed && !is_met() && Clock::now() < *decision.wait_until) {
    timer.expires_at(*decision.wait_until);
    const auto [cancelled] = co_await timer.async_wait(kAwait);
    static_cast<void>(cancelled);
  }
  this->timers.erase(place);
  this->gate.release(bytes);
  co_return Result{is_met(), decision.retry_after};
}

void StartWaiters::close() {
  this->closed = true;
  this->notify();
}

void StartWaiters::notify() {
  for (http::Timer* timer : this->timers) {
    timer->cancel();
  }
}

}  // namespace ibismux::startup
