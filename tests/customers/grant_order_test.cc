// Which requests of a limited customer are granted, in virtual time, for the
// load of a customer that sends several times its limit and whose refused
// callers come back once.

#include <algorithm>
#include <map>
#include <utility>

#include "ibismux/customers/rate_owner.h"
#include "ibismux/customers/stated_patience.h"

#include <criterion/criterion.h>

namespace ibismux::customers::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr RateTolerance kTolerance{seconds(5), 0.1, 20};
constexpr milliseconds kObjective{120};
constexpr milliseconds kPatience{1200};

struct Result {
  int granted = 0;
  int late = 0;  ///< Of `granted`, those beyond the objective.

  [[nodiscard]] double late_share() const {
    return static_cast<double>(this->late) / this->granted;
  }
};

/// One owner with its third of `limit`, asked `per_second` times by new
/// callers. Callers that are refused come back once, after the time they are
/// told or a third of what they have left. @param tells_late Whether the owner
/// is told which requests are late.
Result play(const RateLimit& limit, double per_second, bool tells_late) {
  RateOwner owner(kTolerance);
  const TimePoint start = Clock::now();
  const Duration interval = scaled(seconds(1), 1 / per_second);
  const TimePoint measured_from = start + seconds(10);
  std::multimap<TimePoint, TimePoint> returning;  ///< First attempt by time.
  Result result;
  const auto ask = [&](TimePoint first, TimePoint now) {
    const bool is_late = now - first > kObjective;
    const RateOwner::Decision decision =
        owner.take("c", limit, 1, tells_late && is_late, start, now);
    if (decision.granted && now >= measured_from) {
      ++result.granted;
      result.late += is_late ? 1 : 0;
    }
    return decision;
  };
  for (TimePoint now = start; now < start + seconds(20); now += interval) {
    while (!returning.empty() && returning.begin()->first <= now) {
      const auto back = *returning.begin();
      returning.erase(returning.begin());
      static_cast<void>(ask(back.second, back.first));
    }
    const RateOwner::Decision decision = ask(now, now);
    if (!decision.granted) {
      const Duration pause =
          std::min<Duration>(decision.retry_after, kPatience / 3);
      returning.emplace(now + pause, now);
    }
  }
  return result;
}

Test(grant_order, tokens_of_a_hot_customer_go_to_requests_in_time) {
  const RateLimit limit{61, 0};
  const Result before = play(limit, 100, false);
  const Result after = play(limit, 100, true);
  cr_assert(after.late_share() <= before.late_share() / 2, "%f of %f",
            after.late_share(), before.late_share());
  cr_assert(after.granted >= before.granted * 0.98);
}

/// Of the callers that one owner refuses during a load of five times its part
/// of the limit, the share that come back when they are told, and are refused
/// again while the load goes on.
double share_in_vain(Duration load, bool paces_returns) {
  const RateLimit limit{60, 0};
  RateOwner owner(kTolerance, paces_returns);
  const TimePoint start = Clock::now();
  const TimePoint begin = start + seconds(10);
  std::multimap<TimePoint, bool> asking;  ///< Whether it comes back, by time.
  for (TimePoint at = begin; at < begin + load; at += milliseconds(10)) {
    asking.emplace(at, false);
  }
  int refused = 0;
  int in_vain = 0;
  while (!asking.empty()) {
    const auto [now, comes_back] = *asking.begin();
    asking.erase(asking.begin());
    const RateOwner::Decision decision =
        owner.take("c", limit, 1, comes_back, start, now);
    if (decision.granted) {
      continue;
    }
    if (!comes_back) {
      ++refused;
      asking.emplace(now + decision.retry_after, true);
    } else if (now < begin + load) {
      ++in_vain;
    }
  }
  return static_cast<double>(in_vain) / refused;
}

/// Part of the callers that come back in vain without pacing; no more do so
/// with it.
constexpr double kVainShare = 0.7;

// Guards against callers that are told a time within the load, at which its new
// requests take all tokens.
Test(grant_order, few_callers_come_back_in_vain_in_a_load_of_eight_seconds) {
  const double before = share_in_vain(seconds(8), false);
  const double after = share_in_vain(seconds(8), true);
  cr_assert(after <= before * kVainShare, "%f before, %f after", before, after);
}

// The same; such a load ends soon after callers are first sent away.
Test(grant_order, few_callers_come_back_in_vain_in_a_load_of_five_seconds) {
  const double before = share_in_vain(seconds(5), false);
  const double after = share_in_vain(seconds(5), true);
  cr_assert(after <= before * kVainShare, "%f before, %f after", before, after);
}

// Guards against callers that come back after a short excess and are refused
// although the limit has room for them.
Test(grant_order, late_requests_are_granted_again_after_an_excess) {
  const RateLimit limit{60, 30};  // 20 a second are allowed to this owner.
  RateOwner owner(kTolerance);
  const TimePoint start = Clock::now();
  for (int i = 0; i < 200; ++i) {
    static_cast<void>(
        owner.take("c", limit, 1, false, start, start + milliseconds(10) * i));
  }
  int granted = 0;
  for (int i = 0; i < 100; ++i) {
    const TimePoint now = start + seconds(4) + milliseconds(100) * i;
    granted += owner.take("c", limit, 1, i % 2 == 0, start, now).granted;
  }
  cr_assert(granted == 100, "%d", granted);
}

// Guards against requests in time that are refused because late ones were.
Test(grant_order, a_late_request_that_is_refused_leaves_the_token) {
  const RateLimit limit{60, 0};
  RateOwner owner(kTolerance);
  const TimePoint start = Clock::now();
  TimePoint now = start + seconds(10);
  while (owner.take("c", limit, 1, false, start, now).granted) {
  }
  now += milliseconds(500);
  const RateOwner::Decision late = owner.take("c", limit, 1, true, start, now);
  cr_assert(!late.granted);
  cr_assert(late.retry_after >= milliseconds(400));
  cr_assert(owner.take("c", limit, 1, false, start, now).granted);
}

// Guards against a fair order that takes a customer within its limit for one
// beyond it because all its callers are in one zone.
Test(grant_order, demand_at_one_owner_alone_is_not_beyond_the_limit) {
  const RateLimit limit{60, 60};
  RateOwner owner(kTolerance);
  const TimePoint start = Clock::now();
  double usage = 0;
  for (int i = 0; i < 100; ++i) {
    const TimePoint now = start + seconds(10) + milliseconds(50) * i;
    usage = owner.take("c", limit, 1, false, start, now).usage;
  }
  cr_assert(usage <= 1);
}

Test(grant_order, the_most_refused_customers_are_told_first) {
  RateOwner owner(kTolerance);
  const TimePoint start = Clock::now();
  const TimePoint now = start + seconds(10);
  for (int i = 0; i < 50; ++i) {
    static_cast<void>(owner.take("large", {300, 300}, 1, false, start, now));
  }
  for (int i = 0; i < 20; ++i) {
    static_cast<void>(owner.take("small", {1, 0}, 1, i > 9, start, now));
  }
  const auto first = owner.take_usage(1);
  cr_assert(first.size() == 1 && first[0].customer == "small");
  cr_assert(first[0].asked == 20 && first[0].late == 10);
  cr_assert(first[0].granted <= 2);
  const auto second = owner.take_usage(5);
  cr_assert(second.size() == 1 && second[0].customer == "large");
  cr_assert(second[0].asked == 50);
  cr_assert(owner.take_usage(5).empty());
}

Test(grant_order, usage_tells_how_much_of_the_limit_is_asked_for) {
  const RateLimit limit{60, 0};
  RateOwner owner(kTolerance);
  const TimePoint start = Clock::now();
  double usage = 0;
  for (int i = 0; i < 1000; ++i) {
    const TimePoint now = start + milliseconds(10) * i;
    usage = owner.take("c", limit, 1, false, start, now).usage;
  }
  cr_assert(usage > 4.5 && usage < 5.5);  // 100 a second, 20 of them allowed.
}

Test(stated_patience, a_caller_that_has_waited_elsewhere_is_late) {
  StatedPatience patience;
  cr_assert(!patience.is_late(milliseconds(100), kObjective));
  for (int i = 0; i < 20; ++i) {
    patience.record(i % 4 == 3 ? kPatience - milliseconds(400) : kPatience);
  }
  cr_assert(!patience.is_late(kPatience, kObjective));
  cr_assert(!patience.is_late(kPatience - kObjective, kObjective));
  cr_assert(patience.is_late(kPatience - milliseconds(400), kObjective));
}

// Guards against one caller with any deadline that makes all others late.
Test(stated_patience, a_single_long_deadline_counts_for_nothing) {
  StatedPatience patience;
  for (int i = 0; i < 20; ++i) {
    patience.record(kPatience);
  }
  patience.record(seconds(3600));
  cr_assert(!patience.is_late(kPatience, kObjective));
}

}  // namespace
}  // namespace ibismux::customers::testing
