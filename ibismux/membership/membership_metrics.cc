#include "ibismux/membership/membership_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include "ibismux/membership/membership_view.h"

namespace ibismux::membership {

MembershipMetrics::MembershipMetrics(prometheus::Registry& registry) {
  auto& gauges = prometheus::BuildGauge()
                     .Name("ibismux_members")
                     .Help("Daemons by state, as this one sees them.")
                     .Register(registry);
  constexpr std::array<const char*, kStates> kNames{"alive", "suspect",
                                                    "leaving", "failed"};
  for (std::size_t i = 0; i < kStates; ++i) {
    this->members[i] = &gauges.Add({{"state", kNames[i]}});
  }
  auto& probes = prometheus::BuildCounter()
                     .Name("ibismux_probes_total")
                     .Help("Probes of peers, by outcome.")
                     .Register(registry);
  this->answered = &probes.Add({{"outcome", "answered"}});
  this->unanswered = &probes.Add({{"outcome", "unanswered"}});
}

void MembershipMetrics::saw(const MembershipView& view) {
  std::array<double, kStates> counts{};
  for (const Member& member : view.members) {
    counts[static_cast<std::size_t>(member.state)] += 1;
  }
  for (std::size_t i = 0; i < kStates; ++i) {
    this->members[i]->Set(counts[i]);
  }
}

void MembershipMetrics::probed(bool answered) {
  (answered ? this->answered : this->unanswered)->Increment();
}

}  // namespace ibismux::membership
