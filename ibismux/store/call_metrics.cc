#include "ibismux/store/call_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

namespace ibismux::store {

namespace {

/// Seconds; the platform answers in milliseconds, a watch waits for long.
const prometheus::Histogram::BucketBoundaries kBounds = {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 3, 10, 30};

std::string label(auto value) {
  return std::string(to_string(value));
}

}  // namespace

CallMetrics::CallMetrics(prometheus::Registry& registry) {
  auto& calls = prometheus::BuildCounter()
                    .Name("ibismux_platform_calls_total")
                    .Help("Calls to the platform by kind and result")
                    .Register(registry);
  auto& seconds = prometheus::BuildHistogram()
                      .Name("ibismux_platform_call_seconds")
                      .Help("Duration of the calls that were sent")
                      .Register(registry);
  for (std::size_t kind = 0; kind < kCallKinds; ++kind) {
    const std::string name = label(static_cast<CallKind>(kind));
    for (std::size_t result = 0; result < kCallResults; ++result) {
      this->calls[kind][result] = &calls.Add(
          {{"kind", name}, {"result", label(static_cast<CallResult>(result))}});
    }
    this->seconds[kind] = &seconds.Add({{"kind", name}}, kBounds);
  }
  this->state = &prometheus::BuildGauge()
                     .Name("ibismux_platform_state")
                     .Help("0 up, 1 failing, 2 down")
                     .Register(registry)
                     .Add({});
  this->waiting = &prometheus::BuildGauge()
                       .Name("ibismux_platform_waiting_watches")
                       .Help("Watches that wait at the platform")
                       .Register(registry)
                       .Add({});
}

void CallMetrics::count(CallKind kind,
                        CallResult result,
                        Duration took) noexcept {
  const auto row = static_cast<std::size_t>(kind);
  this->calls[row][static_cast<std::size_t>(result)]->Increment();
  if (result != CallResult::kOverBudget && result != CallResult::kBackedOff) {
    this->seconds[row]->Observe(std::chrono::duration<double>(took).count());
  }
}

void CallMetrics::set_state(PlatformState state) noexcept {
  this->state->Set(static_cast<double>(state));
}

void CallMetrics::add_waiting(int change) noexcept {
  this->waiting->Increment(change);
}

}  // namespace ibismux::store
