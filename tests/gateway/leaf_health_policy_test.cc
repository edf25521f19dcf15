#include "ibismux/gateway/leaf_health_policy.h"

#include <criterion/criterion.h>

namespace ibismux::gateway {
namespace {

using backend::LeafReply;
using backend::LeafSignal;
using std::chrono::seconds;

constexpr TimePoint kStart{};

LeafReply reply(LeafSignal signal, bool leaving = false) {
  if (signal == LeafSignal::kAnswered) {
    return {std::string("hits"), signal, leaving};
  }
  return {fail(ErrorKind::kLeafUnavailable, "test"), signal, leaving};
}

/// As many failures as eject a leaf. @return Whether it was.
bool fail_often(LeafHealthPolicy& policy, TimePoint now) {
  bool ejected = false;
  for (std::size_t i = 0; i < GatewaySettings().failures_to_eject; ++i) {
    ejected = policy.on_reply(reply(LeafSignal::kLost), now) || ejected;
  }
  return ejected;
}

}  // namespace

Test(leaf_health_policy, failures_in_a_row_eject_for_a_while) {
  const GatewaySettings settings;
  EjectionBudget budget(0.5);
  budget.set_leafs(4);
  LeafHealthPolicy policy(settings, budget);
  cr_assert(fail_often(policy, kStart));
  cr_assert(policy.state(kStart) == LeafState::kEjected);
  const TimePoint later = kStart + settings.ejection;
  policy.tick(later);
  cr_assert(policy.state(later) == LeafState::kReady);
  // One more failure ejects it again, for twice as long.
  cr_assert(policy.on_reply(reply(LeafSignal::kLost), later));
  cr_assert(policy.state(later + settings.ejection) == LeafState::kEjected);
}

Test(leaf_health_policy, refusals_and_answers_are_no_failures) {
  const GatewaySettings settings;
  EjectionBudget budget(1);
  budget.set_leafs(4);
  LeafHealthPolicy policy(settings, budget);
  for (int i = 0; i < 100; ++i) {
    (void)policy.on_reply(reply(LeafSignal::kOverloaded), kStart);
    (void)policy.on_reply(reply(LeafSignal::kLost), kStart);
    (void)policy.on_reply(reply(LeafSignal::kAnswered), kStart);
  }
  cr_assert(policy.state(kStart) == LeafState::kReady);
}

// Failure: one slow switch takes a whole service down.
Test(leaf_health_policy, ejections_stop_at_the_budget) {
  const GatewaySettings settings;
  EjectionBudget budget(settings.most_ejected);
  budget.set_leafs(10);
  std::vector<std::unique_ptr<LeafHealthPolicy>> leafs;
  int ejected = 0;
  for (int i = 0; i < 10; ++i) {
    leafs.push_back(std::make_unique<LeafHealthPolicy>(settings, budget));
    ejected += fail_often(*leafs.back(), kStart) ? 1 : 0;
  }
  cr_assert(ejected == 2);
  // A leaf that goes away gives its place back.
  leafs.erase(leafs.begin());
  cr_assert(fail_often(*leafs.back(), kStart));
}

// Failure: a draining leaf gets new work again before it is gone.
Test(leaf_health_policy, leaf_that_leaves_returns_as_another_process_only) {
  const GatewaySettings settings;
  EjectionBudget budget(1);
  LeafHealthPolicy policy(settings, budget);
  (void)policy.on_reply(reply(LeafSignal::kAnswered, true), kStart);
  cr_assert(policy.state(kStart + seconds(60)) == LeafState::kLeaving);
  policy.on_restart(true, kStart + seconds(1));
  cr_assert(policy.state(kStart + seconds(1)) == LeafState::kLeaving);
  policy.on_restart(false, kStart + seconds(30));
  cr_assert(policy.state(kStart + seconds(30)) == LeafState::kLeaving);
  policy.on_restart(true, kStart + seconds(30) + settings.leaving_hold);
  cr_assert(policy.state(kStart + seconds(40)) == LeafState::kReady);
}

Test(leaf_health_policy, operators_word_goes_first) {
  const GatewaySettings settings;
  EjectionBudget budget(1);
  LeafHealthPolicy policy(settings, budget);
  policy.declare(true);
  policy.on_restart(true, kStart + seconds(60));
  cr_assert(policy.state(kStart + seconds(60)) == LeafState::kLeaving);
  policy.declare(false);
  cr_assert(policy.state(kStart + seconds(60)) == LeafState::kReady);
}

}  // namespace ibismux::gateway
