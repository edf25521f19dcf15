#include "ibismux/relay/relay_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

namespace ibismux::relay {

namespace {

prometheus::Counter* counter(prometheus::Registry& registry,
                             const char* name,
                             const char* help,
                             const prometheus::Labels& labels = {}) {
  return &prometheus::BuildCounter()
              .Name(name)
              .Help(help)
              .Register(registry)
              .Add(labels);
}

}  // namespace

RelayMetrics::RelayMetrics(prometheus::Registry& registry) {
  this->generation = &prometheus::BuildGauge()
                          .Name("ibismux_release_generation")
                          .Help("Generation in force on this daemon.")
                          .Register(registry)
                          .Add({});
  const char* applied = "ibismux_releases_applied_total";
  const char* help = "Releases put in force, by where they came from.";
  this->from_peers = counter(registry, applied, help, {{"source", "peer"}});
  this->from_platform =
      counter(registry, applied, help, {{"source", "platform"}});
  this->pushes = counter(registry, "ibismux_release_pushes_total",
                         "Releases announced to peers.");
  this->fetches = counter(registry, "ibismux_release_fetches_total",
                          "Questions to peers for something newer.");
  this->self_help_reads =
      counter(registry, "ibismux_release_self_help_reads_total",
              "Reads of the platform since no peer brought the release.");
  this->rejected = counter(registry, "ibismux_releases_rejected_total",
                           "Releases that could not be put in force.");
}

}  // namespace ibismux::relay
