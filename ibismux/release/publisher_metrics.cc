#include "ibismux/release/publisher_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

namespace ibismux::release {
namespace {

constexpr std::array<const char*, kPublishOutcomes> kOutcomeNames = {
    "landed", "conflict", "answer_lost", "not_written"};

prometheus::Counter& counter(prometheus::Registry& registry,
                             const char* name,
                             const char* help) {
  return prometheus::BuildCounter()
      .Name(name)
      .Help(help)
      .Register(registry)
      .Add({});
}

}  // namespace

PublisherMetrics::PublisherMetrics(prometheus::Registry& registry)
    : changes(&counter(registry,
                       "ibismux_release_changes_total",
                       "Changes that this daemon's publications accepted.")),
      garbage(&counter(registry,
                       "ibismux_release_chunks_removed_total",
                       "Chunks removed that no release names any more.")),
      rejected(&prometheus::BuildGauge()
                    .Name("ibismux_release_rejections")
                    .Help("Objects whose newest version is not in force.")
                    .Register(registry)
                    .Add({})) {
  auto& family = prometheus::BuildCounter()
                     .Name("ibismux_release_publications_total")
                     .Help("Attempts to advance the head, by outcome.")
                     .Register(registry);
  for (std::size_t i = 0; i < kPublishOutcomes; ++i) {
    this->attempts[i] = &family.Add({{"outcome", kOutcomeNames[i]}});
  }
}

void PublisherMetrics::attempted(PublishOutcome outcome) noexcept {
  this->attempts[static_cast<std::size_t>(outcome)]->Increment();
}

void PublisherMetrics::accepted(std::size_t changes) noexcept {
  this->changes->Increment(static_cast<double>(changes));
}

void PublisherMetrics::rejections(std::size_t count) noexcept {
  this->rejected->Set(static_cast<double>(count));
}

void PublisherMetrics::collected_garbage() noexcept {
  this->garbage->Increment();
}

}  // namespace ibismux::release
