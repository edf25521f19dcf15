#include "ibismux/admission/rate_meter.h"

#include <pcg_random.hpp>
#include <vector>

#include "ibismux/admission/sliding_log.h"
#include "ibismux/admission/window_counter.h"

#include <criterion/criterion.h>

namespace ibismux::admission {
namespace {

using std::chrono::milliseconds;

TimePoint at(std::int64_t ms) {
  return TimePoint(milliseconds(ms));
}

/// The most of `times` that any window holds.
std::size_t most_in_a_window(const std::vector<TimePoint>& times,
                             Duration window) {
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] >= window) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

/// Offers requests at random times; gives those that the meter let through.
std::vector<TimePoint> admitted_by(RateMeter& meter, std::uint32_t limit) {
  pcg32 random(11);
  std::vector<TimePoint> times;
  std::int64_t ms = 0;
  for (int i = 0; i < 20'000; ++i) {
    ms += random(6);
    if (meter.wait(limit, at(ms)) == Duration::zero()) {
      meter.record(at(ms));
      times.push_back(at(ms));
    }
  }
  return times;
}

Test(rate_meter, an_exact_log_lets_the_limit_through_and_no_more) {
  SlidingLog log(milliseconds(1000));
  cr_assert(most_in_a_window(admitted_by(log, 40), milliseconds(1000)) == 40);
}

Test(rate_meter, a_counter_never_passes_the_limit_and_comes_near_it) {
  WindowCounter counter(milliseconds(1000));
  const std::size_t most =
      most_in_a_window(admitted_by(counter, 300), milliseconds(1000));
  cr_assert(most <= 300);
  cr_assert(most >= 290);
}

Test(rate_meter, the_wait_is_until_the_oldest_leaves) {
  SlidingLog log(milliseconds(1000));
  log.record(at(100));
  log.record(at(300));
  cr_assert(log.wait(2, at(400)) == milliseconds(700));
  cr_assert(log.wait(1, at(400)) == milliseconds(900));
  cr_assert(log.wait(2, at(1100)) == Duration::zero());
}

Test(rate_meter, after_its_wait_a_counter_lets_one_through) {
  WindowCounter counter(milliseconds(1000));
  for (int i = 0; i < 300; ++i) {
    counter.record(at(i));
  }
  const Duration wait = counter.wait(300, at(500));
  cr_assert(wait > Duration::zero());
  cr_assert(counter.wait(300, at(500) + wait - Duration(1)) > Duration::zero());
  cr_assert(counter.wait(300, at(500) + wait) == Duration::zero());
}

Test(rate_meter, a_limit_of_nothing_lets_nothing_through) {
  SlidingLog log(milliseconds(1000));
  WindowCounter counter(milliseconds(1000));
  cr_assert(log.wait(0, at(5)) == milliseconds(1000));
  cr_assert(counter.wait(0, at(5)) >= milliseconds(1000));
}

// Failure: a request is let through though the window is full.
Test(rate_meter, times_out_of_order_count_for_their_window) {
  SlidingLog log(milliseconds(100));
  log.record(at(50));
  log.record(at(40));
  cr_assert(log.wait(2, at(145)) == milliseconds(5));
}

}  // namespace
}  // namespace ibismux::admission
