#include "ibismux/dispatch/dispatch_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "ibismux/eventlog/event_log.h"

namespace ibismux::dispatch {

namespace {

/// In seconds. Latency objectives of routes lie between 40 ms and 800 ms.
const prometheus::Histogram::BucketBoundaries kLatencyBounds = {
    0.002, 0.005, 0.01, 0.02, 0.04, 0.06, 0.08, 0.12,
    0.2,   0.4,   0.8,  1.5,  3,    6,    15};

std::string outcome_name(const Error* error, bool partial) {
  if (error) {
    return std::string(error_entry(error->kind).name);
  }
  return partial ? "partial" : "ok";
}

constexpr std::size_t kFirstAttemptRow = kRepeatCauses;

/// The label `cause` of a row of `sends`.
std::string_view row_name(std::size_t row) {
  return row == kFirstAttemptRow ? "first"
                                 : to_string(static_cast<RepeatCause>(row));
}

}  // namespace

DispatchMetrics::DispatchMetrics(prometheus::Registry& registry) {
  this->requests = &prometheus::BuildCounter()
                        .Name("ibismux_dispatch_requests_total")
                        .Help("Requests by route and outcome")
                        .Register(registry);
  this->request_seconds = &prometheus::BuildHistogram()
                               .Name("ibismux_dispatch_request_seconds")
                               .Help("Time from a request to its answer")
                               .Register(registry);
  auto& calls = prometheus::BuildCounter()
                    .Name("ibismux_dispatch_leaf_calls_total")
                    .Help("Calls to leafs by outcome")
                    .Register(registry);
  this->calls[0] = &calls.Add({{"outcome", "ok"}});
  for (std::size_t kind = 0; kind < kErrorKinds; ++kind) {
    const auto& entry = error_entry(static_cast<ErrorKind>(kind));
    this->calls[kind + 1] = &calls.Add({{"outcome", std::string(entry.name)}});
  }
  this->call_seconds = &prometheus::BuildHistogram()
                            .Name("ibismux_dispatch_leaf_call_seconds")
                            .Help("Time from a call to a leaf to its end")
                            .Register(registry)
                            .Add({}, kLatencyBounds);
  this->leafs_ended = &prometheus::BuildCounter()
                           .Name("ibismux_dispatch_leafs_ended_total")
                           .Help("Calls during which the leaf's process ended.")
                           .Register(registry)
                           .Add({});
  this->unreadable_loads =
      &prometheus::BuildCounter()
           .Name("ibismux_dispatch_unreadable_loads_total")
           .Help("Answers of leafs whose load can't be read")
           .Register(registry)
           .Add({});
  auto& repeats = prometheus::BuildCounter()
                      .Name("ibismux_dispatch_repeats_total")
                      .Help("Requests sent to one more leaf, by cause")
                      .Register(registry);
  auto& refused = prometheus::BuildCounter()
                      .Name("ibismux_dispatch_repeats_refused_total")
                      .Help("Repeats for which the budget had none left")
                      .Register(registry);
  for (std::size_t i = 0; i < kRepeatCauses; ++i) {
    const std::string cause(to_string(static_cast<RepeatCause>(i)));
    this->repeats[i] = &repeats.Add({{"cause", cause}});
    this->refused_repeats[i] = &refused.Add({{"cause", cause}});
  }
  auto& sends = prometheus::BuildCounter()
                    .Name("ibismux_dispatch_sends_total")
                    .Help(
                        "Calls sent to leafs, by cause and by what kept them "
                        "from the leafs of the daemon's zone")
                    .Register(registry);
  for (std::size_t row = 0; row < this->sends.size(); ++row) {
    for (std::size_t exit = 0; exit < kZoneExits; ++exit) {
      this->sends[row][exit] = &sends.Add(
          {{"cause", std::string(row_name(row))},
           {"zone_exit", std::string(to_string(static_cast<ZoneExit>(exit)))}});
    }
  }
}

void DispatchMetrics::sent(std::optional<RepeatCause> cause,
                           ZoneExit exit) noexcept {
  const std::size_t row =
      cause ? static_cast<std::size_t>(*cause) : kFirstAttemptRow;
  this->sends[row][static_cast<std::size_t>(exit)]->Increment();
}

void DispatchMetrics::leaf_ended() noexcept {
  this->leafs_ended->Increment();
}

void DispatchMetrics::load_unreadable() noexcept {
  this->unreadable_loads->Increment();
}

void DispatchMetrics::log_sends(eventlog::EventLog& log) const {
  eventlog::Event line = log.event(eventlog::Weight::kBelief, "calls_sent");
  for (std::size_t row = 0; row < this->sends.size(); ++row) {
    for (std::size_t exit = 0; exit < kZoneExits; ++exit) {
      const auto count =
          static_cast<std::uint64_t>(this->sends[row][exit]->Value());
      if (count > 0) {
        line.with(std::string(row_name(row)) + '.' +
                      std::string(to_string(static_cast<ZoneExit>(exit))),
                  count);
      }
    }
  }
}

void DispatchMetrics::request_ended(const std::string& route,
                                    const Error* error,
                                    bool partial,
                                    Duration took) {
  const std::string outcome = outcome_name(error, partial);
  this->requests->Add({{"route", route}, {"outcome", outcome}}).Increment();
  this->request_seconds->Add({{"route", route}}, kLatencyBounds)
      .Observe(to_seconds(took));
}

void DispatchMetrics::call_ended(const Error* error, Duration took) noexcept {
  const std::size_t row = error ? static_cast<std::size_t>(error->kind) + 1 : 0;
  this->calls[row]->Increment();
  this->call_seconds->Observe(to_seconds(took));
}

void DispatchMetrics::repeated(RepeatCause cause) noexcept {
  this->repeats[static_cast<std::size_t>(cause)]->Increment();
}

void DispatchMetrics::repeat_refused(RepeatCause cause) noexcept {
  this->refused_repeats[static_cast<std::size_t>(cause)]->Increment();
}

}  // namespace ibismux::dispatch
