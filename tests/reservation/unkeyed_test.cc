#include "tests/reservation/fleet.h"

#include <criterion/criterion.h>

namespace ibismux::reservation {
namespace {

using Fate = testing::FakeLeafCaller::Fate;

testing::FakeLeafCaller::Plan always(Fate fate) {
  return [fate](const auto&, const auto&) { return fate; };
}

testing::FakeLeafCaller::Plan refuse_first(std::size_t refusals) {
  auto left = std::make_shared<std::size_t>(refusals);
  return [left](const auto&, const auto&) {
    if (*left == 0) {
      return Fate::kRunsAndAnswers;
    }
    --*left;
    return Fate::kRefuses;
  };
}

Test(unkeyed, runs_once_and_gives_the_leafs_answer) {
  Fleet fleet(1);
  auto answer = fleet.reserve_now(0, "", "fuse");
  cr_assert(answer.has_value());
  cr_assert(answer->state == KeyState::kRun);
  cr_assert(answer->body.starts_with("|fuse|"));
  cr_assert(!answer->repeat);
  cr_assert(fleet.leafs.runs().size() == 1);
}

Test(unkeyed, an_unknown_service_is_refused_as_not_run) {
  Fleet fleet(1);
  fleet.releases.write(std::make_shared<release::Release>());
  auto answer = fleet.reserve_now(0, "", "fuse");
  cr_assert(answer.error().kind == ErrorKind::kNotFound);
  cr_assert(answer.error().execution == Execution::kNotRun);
}

Test(unkeyed, reservations_of_one_item_meet_at_one_leaf) {
  Fleet fleet(2);
  cr_assert(fleet.reserve_now(0, "", "fuse").has_value());
  cr_assert(fleet.reserve_now(1, "", "fuse").has_value());
  const auto runs = fleet.leafs.runs();
  cr_assert(runs[0].leaf == runs[1].leaf);
  cr_assert(!(runs[0].id == runs[1].id));
}

Test(unkeyed, a_refusal_that_was_not_run_is_tried_again) {
  Fleet fleet(1);
  fleet.leafs.plan(refuse_first(2));
  cr_assert(fleet.reserve_now(0, "", "fuse").has_value());
  cr_assert(fleet.leafs.calls() == 3);
  cr_assert(fleet.leafs.runs().size() == 1);
}

// Failure: one order is executed twice by the leaf.
Test(unkeyed, what_may_have_run_is_never_sent_again) {
  for (const Fate fate : {Fate::kRunsAndAnswerLost, Fate::kLostBeforeRun}) {
    Fleet fleet(1);
    fleet.leafs.plan(always(fate));
    auto answer = fleet.reserve_now(0, "", "fuse");
    cr_assert(answer.error().execution == Execution::kUnknown);
    cr_assert(fleet.leafs.calls() == 1);
  }
}

// Failure: a reservation runs long after its caller was told that it failed.
Test(unkeyed, nothing_is_sent_after_the_deadline) {
  Fleet fleet(1);
  auto outcome = fleet.reserve(0, "", "fuse", std::chrono::milliseconds(-1));
  auto answer = fleet.get(outcome);
  cr_assert(answer.error().kind == ErrorKind::kDeadlineExceeded);
  cr_assert(answer.error().execution == Execution::kNotRun);
  cr_assert(fleet.leafs.calls() == 0);
}

}  // namespace
}  // namespace ibismux::reservation
