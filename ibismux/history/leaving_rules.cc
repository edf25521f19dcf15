#include "ibismux/history/leaving_rules.h"

namespace ibismux::history {

void LeavingRules::add(const LeafStateRecord& state) {
  this->states[state.leaf].push_back(state);
}

void LeavingRules::check(const RunRecord& run) {
  const auto found = this->states.find(run.leaf);
  if (found == this->states.end()) {
    return;
  }
  const LeafStateRecord* first = nullptr;  // Since it last served.
  Instant served{-1};
  for (const LeafStateRecord& state : found->second) {
    if (!state.leaving && state.at <= run.begin && state.at > served) {
      served = state.at;
    }
  }
  for (const LeafStateRecord& state : found->second) {
    if (state.leaving && state.at > served && state.at <= run.begin &&
        (first == nullptr || state.at < first->at)) {
      first = &state;
    }
  }
  if (first != nullptr && run.begin > first->at + this->allowed) {
    const Instant late = run.begin - first->at;
    this->report({ViolationKind::kWorkAfterLeaving, run.leaf,
                  "call " + run.call_id + " began " +
                      std::to_string(late.count()) +
                      " us after it began to leave"});
  }
}

}  // namespace ibismux::history
