#include "ibismux/admission/limit_counters.h"

#include <numeric>

#include "ibismux/admission/fleet_share.h"
#include "ibismux/admission/limit_counters_table.h"

#include <criterion/criterion.h>

namespace ibismux::admission {
namespace {

using std::chrono::milliseconds;

TimePoint at(std::int64_t ms) {
  return TimePoint(std::chrono::hours(1)) + milliseconds(ms);
}

release::LimitPolicy policy_of(std::vector<release::RateRule> rates) {
  release::LimitPolicy policy;
  policy.name = "p";
  policy.rates = std::move(rates);
  return policy;
}

LimitUse use_of(const release::LimitPolicy& policy) {
  auto share = std::make_shared<LimitShare>();
  for (const release::RateRule& rule : policy.rates) {
    share->rates.push_back(rule.limit);
  }
  return {std::make_shared<LimitCounters>(policy), share};
}

// Failure: requests refused by one rule count against another, and fewer
// requests are admitted than the limits allow.
Test(limit_counters, a_refused_request_is_not_counted) {
  const LimitUse tight = use_of(policy_of({{1, milliseconds(100)}}));
  const LimitUse wide = use_of(policy_of({{3, milliseconds(60'000)}}));
  const LimitUse both[] = {wide, tight};
  cr_assert(check_and_record(both, at(0)).wait == Duration::zero());
  for (int i = 1; i < 50; ++i) {
    cr_assert(check_and_record(both, at(i)).wait == milliseconds(100 - i));
  }
  cr_assert(check_and_record({&wide, 1}, at(60)).wait == Duration::zero());
  cr_assert(check_and_record({&wide, 1}, at(61)).wait == Duration::zero());
  cr_assert(check_and_record({&wide, 1}, at(62)).wait > Duration::zero());
}

Test(limit_counters, returns_the_longest_wait) {
  const LimitUse use =
      use_of(policy_of({{1, milliseconds(100)}, {1, milliseconds(5000)}}));
  cr_assert(check_and_record({&use, 1}, at(0)).wait == Duration::zero());
  cr_assert(check_and_record({&use, 1}, at(50)).wait == milliseconds(4950));
}

Test(limit_counters, counters_listed_twice_count_once) {
  const LimitUse use = use_of(policy_of({{2, milliseconds(100)}}));
  const LimitUse twice[] = {use, use};
  cr_assert(check_and_record(twice, at(0)).wait == Duration::zero());
  cr_assert(check_and_record(twice, at(1)).wait == Duration::zero());
  cr_assert(check_and_record(twice, at(2)).wait > Duration::zero());
}

Test(limit_counters, fleet_shares_add_up_to_the_limit) {
  for (const std::uint32_t limit : {1U, 3U, 7U, 10U, 1000U}) {
    for (std::uint32_t count = 1; count <= 9; ++count) {
      for (const std::uint64_t salt : {0ULL, 5ULL, ~0ULL}) {
        std::uint32_t sum = 0;
        for (std::uint32_t rank = 0; rank < count; ++rank) {
          sum += fleet_share(limit, {rank, count}, salt);
        }
        cr_assert(sum == limit);
      }
    }
  }
}

// Failure: made-up caller names exhaust the memory, or evict the counts of a
// caller so that its limit no longer applies.
Test(limit_counters_table, a_flood_of_names_is_bounded_and_lifts_no_limit) {
  const release::LimitPolicy policy = policy_of({{1, milliseconds(1000)}});
  auto share = std::make_shared<LimitShare>();
  share->rates.push_back(1);
  LimitCountersTable table(64);
  std::size_t admitted = 0;
  for (int i = 0; i < 5000; ++i) {
    const LimitUse use{table.get(policy, std::to_string(i), at(0)), share};
    admitted +=
        check_and_record({&use, 1}, at(0)).wait == Duration::zero() ? 1 : 0;
  }
  cr_assert(table.size() <= 128);
  cr_assert(admitted <= 128);
  for (int i = 0; i < 5000; ++i) {
    const LimitUse use{table.get(policy, std::to_string(i), at(1)), share};
    cr_assert(check_and_record({&use, 1}, at(1)).wait > Duration::zero());
  }
}

Test(limit_counters_table, idle_entries_are_evicted) {
  const release::LimitPolicy policy = policy_of({{1, milliseconds(1000)}});
  auto share = std::make_shared<LimitShare>();
  share->rates.push_back(1);
  LimitCountersTable table(16);
  for (int i = 0; i < 500; ++i) {
    const TimePoint now = at(2000 * i);
    const LimitUse use{table.get(policy, std::to_string(i), now), share};
    cr_assert(check_and_record({&use, 1}, now).wait == Duration::zero());
  }
}

}  // namespace
}  // namespace ibismux::admission
