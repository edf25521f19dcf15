#include "ibismux/gateway/gateway_metrics.h"

#include <chrono>
#include <string>

namespace ibismux::gateway {

namespace {

constexpr const char* kRefuseNames[kRefuseReasons] = {
    "full",    "hopeless", "evicted",     "expired", "cancelled",
    "leaving", "ejected",  "unreachable", "no_share"};
constexpr const char* kDropNames[kDropReasons] = {"late", "foreign",
                                                  "truncated", "duplicate"};

const prometheus::Histogram::BucketBoundaries kSeconds = {
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05,
    0.1,    0.25,  0.5,    1.0,   2.5,  5.0};

prometheus::Family<prometheus::Counter>& counter(prometheus::Registry& registry,
                                                 const char* name,
                                                 const char* help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Gauge& gauge(prometheus::Registry& registry,
                         const char* name,
                         const char* help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add(
      {});
}

prometheus::Histogram& histogram(prometheus::Registry& registry,
                                 const char* name,
                                 const char* help) {
  return prometheus::BuildHistogram()
      .Name(name)
      .Help(help)
      .Register(registry)
      .Add({}, kSeconds);
}

}  // namespace

GatewayMetrics::GatewayMetrics(prometheus::Registry& registry) {
  auto& call_family = counter(registry, "ibismux_leaf_calls_total",
                              "Calls sent to leafs, by how they ended");
  for (std::size_t i = 0; i < backend::kLeafSignals; ++i) {
    const auto signal = static_cast<backend::LeafSignal>(i);
    this->calls[i] =
        &call_family.Add({{"signal", std::string(backend::to_string(signal))}});
  }
  auto& refuse_family =
      counter(registry, "ibismux_leaf_calls_refused_total",
              "Calls answered without being sent to a leaf, by reason");
  for (std::size_t i = 0; i < kRefuseReasons; ++i) {
    this->refusals[i] = &refuse_family.Add({{"reason", kRefuseNames[i]}});
  }
  auto& drop_family = counter(registry, "ibismux_leaf_answers_dropped_total",
                              "Answers of leafs that were not used, by reason");
  for (std::size_t i = 0; i < kDropReasons; ++i) {
    this->drops[i] = &drop_family.Add({{"reason", kDropNames[i]}});
  }
  auto& open_family = counter(registry, "ibismux_leaf_connections_opened_total",
                              "Attempts to open a connection to a leaf");
  this->opened = {&open_family.Add({{"result", "failed"}}),
                  &open_family.Add({{"result", "opened"}})};
  this->leaf_seconds = &histogram(registry, "ibismux_leaf_call_seconds",
                                  "From sending a call to its answer");
  this->queue_seconds = &histogram(registry, "ibismux_leaf_queue_seconds",
                                   "How long calls waited for their leaf");
  this->cancels = &counter(registry, "ibismux_leaf_cancels_total",
                           "Cancel calls sent to leafs")
                       .Add({});
  this->ejections = &counter(registry, "ibismux_leaf_ejections_total",
                             "Leafs ejected for failing calls")
                         .Add({});
  auto& connection_family =
      prometheus::BuildGauge()
          .Name("ibismux_leaf_connections")
          .Help("Connections to leafs, open or being opened, by role")
          .Register(registry);
  this->call_connections = &connection_family.Add({{"role", "call"}});
  this->control_connections = &connection_family.Add({{"role", "control"}});
  this->in_flight =
      &gauge(registry, "ibismux_leaf_calls_running", "Calls that leafs run");
  this->limits = &gauge(registry, "ibismux_leaf_limits",
                        "Sum of the concurrency limits of all leafs");
}

void GatewayMetrics::called(backend::LeafSignal signal, Duration leaf_time) {
  this->calls[static_cast<std::size_t>(signal)]->Increment();
  this->leaf_seconds->Observe(to_seconds(leaf_time));
}

void GatewayMetrics::queued(Duration queue_time) {
  this->queue_seconds->Observe(to_seconds(queue_time));
}

void GatewayMetrics::refused(RefuseReason reason) {
  this->refusals[static_cast<std::size_t>(reason)]->Increment();
}

void GatewayMetrics::dropped(DropReason reason) {
  this->drops[static_cast<std::size_t>(reason)]->Increment();
}

void GatewayMetrics::connection_opened(bool success) {
  this->opened[success ? 1 : 0]->Increment();
}

}  // namespace ibismux::gateway
