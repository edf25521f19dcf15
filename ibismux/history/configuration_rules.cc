#include "ibismux/history/configuration_rules.h"

#include <algorithm>

namespace ibismux::history {

namespace {

std::string micros(Instant at) {
  return std::to_string(at.count()) + " us";
}

}  // namespace

void ConfigurationRules::add(const AcceptedRecord& accepted) {
  this->changes.push_back(accepted);
}

void ConfigurationRules::add(const InForceRecord& in_force) {
  this->daemons[{in_force.member, in_force.incarnation}].push_back(in_force);
}

void ConfigurationRules::check() {
  for (auto& [daemon, seen] : this->daemons) {
    std::ranges::stable_sort(seen, {}, &InForceRecord::at);
    this->check_order(daemon, seen);
    for (const AcceptedRecord& accepted : this->changes) {
      this->check_delay(daemon, seen, accepted);
    }
  }
}

void ConfigurationRules::check_order(const Daemon& daemon,
                                     const std::vector<InForceRecord>& seen) {
  std::uint64_t highest = 0;
  for (const InForceRecord& one : seen) {
    if (one.generation < highest) {
      this->report({ViolationKind::kRevertedGeneration,
                    daemon.first + "/" + daemon.second,
                    "generation " + std::to_string(one.generation) + " at " +
                        micros(one.at) + ", after " + std::to_string(highest)});
    }
    highest = std::max(highest, one.generation);
  }
}

void ConfigurationRules::check_delay(const Daemon& daemon,
                                     const std::vector<InForceRecord>& seen,
                                     const AcceptedRecord& accepted) {
  const Instant limit = accepted.at + this->allowed;
  const auto reached =
      std::ranges::find_if(seen, [&accepted](const InForceRecord& one) {
        return one.generation >= accepted.generation;
      });
  // Seen with an older generation past the limit, it is certainly late. Seen
  // with the new one past the limit for the first time, it is late if it was
  // there when the change was accepted.
  const auto behind = std::find_if(
      seen.begin(), reached,
      [limit](const InForceRecord& one) { return one.at > limit; });
  const bool late = reached != seen.end() && reached->at > limit &&
                    seen.front().at <= accepted.at;
  if (behind == reached && !late) {
    return;
  }
  const InForceRecord& witness = late ? *reached : *behind;
  this->report({ViolationKind::kLateInForce, daemon.first + "/" + daemon.second,
                "change " + accepted.change_id + ", generation " +
                    std::to_string(accepted.generation) + ", accepted at " +
                    micros(accepted.at) + "; generation " +
                    std::to_string(witness.generation) + " at " +
                    micros(witness.at)});
}

}  // namespace ibismux::history
