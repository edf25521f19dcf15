#include <algorithm>
#include <random>

#include "apps/bench-policy/scenarios.h"
#include "ibismux/admission/limit_counters.h"

namespace ibismux::bench {

namespace {

using admission::LimitCounters;
using admission::LimitShare;
using admission::LimitUse;
using admission::RateMeter;
using boost::json::object;
using release::RateRule;
using std::chrono::milliseconds;
using std::chrono::seconds;

using Rules = std::vector<RateRule>;

/// The way to avoid, for comparison: each limiter records on its own, before
/// the next has been asked.
class ChainedLimiters {
 public:
  explicit ChainedLimiters(const Rules& rules) : rules(rules) {
    for (const RateRule& rule : rules) {
      this->meters.push_back(
          admission::make_rate_meter(rule.limit, rule.window));
    }
  }

  [[nodiscard]] std::size_t size() const noexcept { return this->rules.size(); }

  /// Asks limiter `index` alone, and records there if it agrees.
  [[nodiscard]] Duration pass(std::size_t index, TimePoint now) {
    RateMeter& meter = *this->meters[index];
    const Duration wait = meter.wait(this->rules[index].limit, now);
    if (wait == Duration::zero()) {
      meter.record(now);
    }
    return wait;
  }

 private:
  Rules rules;
  std::vector<std::unique_ptr<RateMeter>> meters;
};

/// What the product does: all are asked, then all record.
class CombinedLimiter {
 public:
  explicit CombinedLimiter(const Rules& rules) {
    release::LimitPolicy policy;
    policy.rates = rules;
    auto share = std::make_shared<LimitShare>();
    for (const RateRule& rule : rules) {
      share->rates.push_back(rule.limit);
    }
    this->use = {std::make_shared<LimitCounters>(policy), std::move(share)};
  }

  [[nodiscard]] Duration pass(TimePoint now) {
    return admission::check_and_record({&this->use, 1}, now).wait;
  }

 private:
  LimitUse use;
};

/// How many requests were sent while a window before them was full already.
std::uint64_t violations(std::vector<TimePoint> sent, const Rules& rules) {
  std::sort(sent.begin(), sent.end());
  std::uint64_t count = 0;
  for (const RateRule& rule : rules) {
    for (std::size_t i = rule.limit; i < sent.size(); ++i) {
      count += sent[i] - sent[i - rule.limit] < rule.window ? 1 : 0;
    }
  }
  return count;
}

/// How late a waiting caller wakes, at most: timers are never exact.
constexpr milliseconds kTimerLag{10};

/// A wait with the lag of its timer; none if there is nothing to wait for.
Duration lagged(Duration wait, bool exact, pcg64& random) {
  std::uniform_int_distribution<Duration::rep> lag(0,
                                                   Duration(kTimerLag).count());
  return wait == Duration::zero() || exact ? wait
                                           : wait + Duration(lag(random));
}

/// Callers that wait until every limiter has let them through, one by one.
class ChainedWaiters {
 public:
  ChainedWaiters(Timeline& timeline, const Rules& rules, bool exact)
      : timeline(timeline), limiters(rules), exact(exact) {}

  void step(std::size_t limiter) {
    if (limiter == this->limiters.size()) {
      this->sent.push_back(this->timeline.now());
      return;
    }
    const Duration wait = this->limiters.pass(limiter, this->timeline.now());
    const std::size_t next = wait == Duration::zero() ? limiter + 1 : limiter;
    this->timeline.after(lagged(wait, this->exact, this->random),
                         [this, next] { this->step(next); });
  }

  Timeline& timeline;
  ChainedLimiters limiters;
  bool exact;
  pcg64 random;
  std::vector<TimePoint> sent;
};

/// Callers that wait as long as the combined limiter says.
class CombinedWaiters {
 public:
  CombinedWaiters(Timeline& timeline, const Rules& rules, bool exact)
      : timeline(timeline), limiter(rules), exact(exact) {}

  void step() {
    const Duration wait = this->limiter.pass(this->timeline.now());
    if (wait == Duration::zero()) {
      this->sent.push_back(this->timeline.now());
      return;
    }
    this->timeline.after(lagged(wait, this->exact, this->random),
                         [this] { this->step(); });
  }

  Timeline& timeline;
  CombinedLimiter limiter;
  bool exact;
  pcg64 random;
  std::vector<TimePoint> sent;
};

/// Request times at `per_second` for `length`.
std::vector<Duration> arrivals(double per_second,
                               Duration length,
                               std::uint64_t seed) {
  pcg64 random(seed);
  std::exponential_distribution<double> gap(per_second);
  std::vector<Duration> times;
  std::chrono::duration<double> at(0);
  while (at < length) {
    times.push_back(std::chrono::duration_cast<Duration>(at));
    at += std::chrono::duration<double>(gap(random));
  }
  return times;
}

double elapsed(const std::vector<TimePoint>& sent) {
  const auto [first, last] = std::minmax_element(sent.begin(), sent.end());
  return std::chrono::duration<double>(*last - *first).count();
}

object waiting(const Rules& rules,
               const std::vector<Duration>& times,
               bool exact) {
  Timeline timeline;
  ChainedWaiters chained(timeline, rules, exact);
  CombinedWaiters combined(timeline, rules, exact);
  for (const Duration time : times) {
    timeline.after(time, [&chained] { chained.step(0); });
    timeline.after(time, [&combined] { combined.step(); });
  }
  timeline.run();
  return {{"requests", times.size()},
          {"chained_violations", violations(chained.sent, rules)},
          {"chained_s", elapsed(chained.sent)},
          {"combined_violations", violations(combined.sent, rules)},
          {"combined_s", elapsed(combined.sent)}};
}

/// As a daemon admits: who may not pass is refused, and nobody waits.
object refusing(const Rules& rules, const std::vector<Duration>& times) {
  ChainedLimiters chained(rules);
  CombinedLimiter combined(rules);
  std::vector<TimePoint> chained_sent;
  std::vector<TimePoint> combined_sent;
  for (const Duration time : times) {
    const TimePoint now = TimePoint(std::chrono::hours(1)) + time;
    std::size_t passed = 0;
    while (passed < chained.size() &&
           chained.pass(passed, now) == Duration::zero()) {
      ++passed;
    }
    if (passed == chained.size()) {
      chained_sent.push_back(now);
    }
    if (combined.pass(now) == Duration::zero()) {
      combined_sent.push_back(now);
    }
  }
  return {{"requests", times.size()},
          {"chained_admitted", chained_sent.size()},
          {"chained_violations", violations(chained_sent, rules)},
          {"combined_admitted", combined_sent.size()},
          {"combined_violations", violations(combined_sent, rules)}};
}

}  // namespace

object run_limits(std::uint64_t seed) {
  const Rules small = {{5, milliseconds(1000)}, {12, milliseconds(3000)}};
  const Rules large = {{400, milliseconds(1000)}, {9000, milliseconds(30'000)}};
  // Narrow window second: the wide rule has recorded when it refuses.
  const Rules wide_first = {{9000, milliseconds(30'000)},
                            {400, milliseconds(1000)}};
  const std::vector<Duration> at_once(30, Duration::zero());
  return {
      {"waiting_30_exact_timers", waiting(small, at_once, true)},
      {"waiting_30_late_timers", waiting(small, at_once, false)},
      {"waiting_random_late_timers",
       waiting(small, arrivals(4.2, seconds(143), seed), false)},
      {"refusing_small", refusing(small, arrivals(12, seconds(600), seed))},
      {"refusing_large", refusing(large, arrivals(800, seconds(120), seed))},
      {"refusing_large_wide_first",
       refusing(wide_first, arrivals(800, seconds(120), seed))}};
}

}  // namespace ibismux::bench
