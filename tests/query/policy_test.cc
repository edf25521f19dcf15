#include "ibismux/query/service_policy.h"

#include <cmath>

#include "ibismux/query/deadline_policy.h"
#include "ibismux/query/query_request.h"
#include "tests/query/query_fixture.h"

#include <criterion/criterion.h>

namespace ibismux::query {
namespace {

TimePoint at(std::int64_t ms) {
  return TimePoint(std::chrono::hours(1)) + milliseconds(ms);
}

/// Reports latencies from 10 ms to 1.25 s, each 5% longer than the previous.
void report_latencies(ServicePolicy& policy) {
  for (int i = 0; i < 5000; ++i) {
    const double ms = 10 * std::pow(1.05, i % 100);
    policy.call_answered(milliseconds(std::lround(ms)), Duration::zero());
  }
}

Test(latency_quantile, it_needs_samples_and_follows_them) {
  LatencyQuantile latencies;
  for (int i = 0; i < 29; ++i) {
    latencies.record(milliseconds(10));
  }
  cr_assert(!latencies.at(0.5).has_value());
  for (int i = 0; i < 10'000; ++i) {
    latencies.record(milliseconds(i % 100 < 95 ? 10 : 200));
  }
  cr_assert(*latencies.at(0.9) < milliseconds(12));
  cr_assert(*latencies.at(0.97) > milliseconds(180));
  for (int i = 0; i < 40'000; ++i) {
    latencies.record(milliseconds(50));
  }
  cr_assert(*latencies.at(0.5) >= milliseconds(48));
}

Test(service_policy, hedges_keep_to_their_share_of_calls) {
  ServicePolicy policy(0.95, 0.05);
  int hedges = 0;
  for (int i = 0; i < 1000; ++i) {
    policy.calls_started(3);
    hedges += policy.take_hedge() ? 1 : 0;
  }
  cr_assert(hedges <= 151);
  cr_assert(hedges >= 149);
}

Test(service_policy, a_hedge_share_of_zero_allows_no_hedge) {
  ServicePolicy policy(0.95, 0);
  policy.calls_started(100'000);
  cr_assert(!policy.take_hedge());
}

// Guards against hedges that under overload lengthen the very queues that made
// calls slow.
Test(service_policy, hedging_stops_while_calls_queue_or_fail) {
  ServicePolicy queueing(0.95, 0.05);
  ServicePolicy failing(0.95, 0.05);
  for (int i = 0; i < 1000; ++i) {
    queueing.call_answered(milliseconds(40), milliseconds(30));
    failing.call_failed();
  }
  cr_assert(queueing.hedge_budget_factor() == 0);
  cr_assert(failing.hedge_budget_factor() == 0);
  for (int i = 0; i < 1000; ++i) {
    queueing.call_answered(milliseconds(10), milliseconds(0));
  }
  cr_assert(queueing.hedge_budget_factor() == 1);
}

// Guards against a delay that falls until nearly every call is hedged, because
// slow calls are abandoned and drop out of the quantile.
Test(service_policy, abandoned_calls_count_as_slow) {
  ServicePolicy policy(0.9, 0.05);
  for (int i = 0; i < 5000; ++i) {
    if (i % 5 == 0) {
      policy.call_abandoned(milliseconds(60));
    } else {
      policy.call_answered(milliseconds(10), Duration::zero());
    }
  }
  cr_assert(*policy.hedge_delay() >= milliseconds(50));
}

// Guards against hedges that cost extra calls but never answer first.
Test(service_policy, hedges_that_rarely_win_become_fewer) {
  ServicePolicy policy(0.95, 0.05);
  report_latencies(policy);
  const Duration at_first = *policy.hedge_delay();
  for (int i = 0; i < 300; ++i) {
    policy.hedge_settled(false);
  }
  report_latencies(policy);
  cr_assert(*policy.hedge_delay() > at_first);
  for (int i = 0; i < 300; ++i) {
    policy.hedge_settled(i % 2 == 0);
  }
  report_latencies(policy);
  cr_assert(*policy.hedge_delay() == at_first);
}

// Guards against hedging of nearly every call after the index changes, when
// restarted queries abandon many calls early.
Test(service_policy, calls_abandoned_early_are_ignored) {
  ServicePolicy policy(0.9, 0.05);
  for (int i = 0; i < 1000; ++i) {
    policy.call_answered(milliseconds(50), Duration::zero());
  }
  for (int i = 0; i < 100'000; ++i) {
    policy.call_abandoned(milliseconds(1));
  }
  cr_assert(*policy.hedge_delay() >= milliseconds(48));
}

Test(leaf_stats, slow_busy_and_failing_leafs_cost_more_until_it_decays) {
  LeafStats usual;
  LeafStats slow;
  LeafStats failing;
  for (int i = 0; i < 50; ++i) {
    for (LeafStats* leaf : {&usual, &slow, &failing}) {
      leaf->call_started();
    }
    usual.call_answered(milliseconds(10), at(i));
    slow.call_answered(milliseconds(100), at(i));
    failing.call_failed(at(i));
  }
  cr_assert(slow.cost(at(50)) > 5 * usual.cost(at(50)));
  cr_assert(failing.cost(at(50)) > 5 * usual.cost(at(50)));
  cr_assert(slow.cost(at(60'000)) < 1.1 * usual.cost(at(60'000)));
  cr_assert(failing.cost(at(60'000)) < 1.1 * usual.cost(at(60'000)));
  usual.call_started();
  cr_assert(usual.cost(at(50)) > 10);
}

// Guards against a slow leaf that gets more calls with hedging than without:
// its calls are abandoned, and its known latency would decay.
Test(leaf_stats, abandoned_calls_keep_the_cost_of_a_slow_leaf_high) {
  LeafStats leaf;
  leaf.call_started();
  leaf.call_answered(milliseconds(200), at(0));
  for (int i = 1; i <= 20; ++i) {
    leaf.call_started();
    leaf.call_abandoned(milliseconds(25), at(1000 * i));
  }
  cr_assert(leaf.cost(at(20'000)) > 20);
  leaf.call_started();
  leaf.call_abandoned(milliseconds(1), at(30'000));
  cr_assert(leaf.cost(at(30'000)) < 10);
}

Test(replica_choice, the_cheaper_of_two_is_taken) {
  const PinnedSnapshot pin = pin_of(release_of(1, snapshot_of("n1", 1, 1, 2)));
  (*pin.leafs)[0]->call_started();
  const CheaperOfTwo choice;
  const std::uint32_t candidates[] = {0, 1};
  for (std::uint64_t random = 0; random < 100; ++random) {
    const std::uint64_t spread = random * 0x9e3779b97f4a7c15ULL;
    cr_assert(choice.choose(pin, candidates, spread, at(0)) == 1);
  }
}

Test(deadline_policy, unreachable_coverage_fails_at_once) {
  using Decision = DeadlinePolicy::Decision;
  const DeadlinePolicy policy(at(100), std::nullopt, 0.6);
  cr_assert(policy.decide(at(1), 0, 5, 5) == Decision::kWait);
  cr_assert(policy.decide(at(1), 0, 2, 5) == Decision::kFail);
  cr_assert(policy.decide(at(1), 3, 0, 5) == Decision::kAnswer);
  cr_assert(policy.decide(at(1), 3, 2, 5) == Decision::kWait);
  cr_assert(policy.decide(at(100), 3, 2, 5) == Decision::kAnswer);
  cr_assert(policy.decide(at(100), 2, 3, 5) == Decision::kFail);
}

// Guards against callers that time out although a partial answer was
// available.
Test(gather_plan, a_callers_deadline_reserves_time_for_the_response) {
  release::QueryService spec;
  spec.deadline = milliseconds(1000);
  QueryRequest request;
  request.received = at(0);
  cr_assert(make_gather_plan(request, spec, 1).deadlines.deadline() ==
            at(1000));
  request.deadline = milliseconds(200);
  cr_assert(make_gather_plan(request, spec, 1).deadlines.deadline() == at(190));
  request.deadline = milliseconds(10);
  cr_assert(make_gather_plan(request, spec, 1).deadlines.deadline() == at(10));
  request.deadline = milliseconds(5000);
  cr_assert(make_gather_plan(request, spec, 1).deadlines.deadline() ==
            at(1000));
}

}  // namespace
}  // namespace ibismux::query
