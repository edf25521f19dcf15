#include "ibismux/admission/rate_meter.h"

#include <pcg_random.hpp>
#include <vector>

#include "ibismux/admission/sliding_window_counter.h"
#include "ibismux/admission/sliding_window_log.h"

#include <criterion/criterion.h>

namespace ibismux::admission {
namespace {

using std::chrono::milliseconds;

TimePoint at(std::int64_t ms) {
  return TimePoint(milliseconds(ms));
}

/// The largest number of `times` in any window.
std::size_t max_in_window(const std::vector<TimePoint>& times,
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

/// Sends requests at random times; returns the times of the admitted ones.
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

Test(rate_meter, an_exact_log_admits_exactly_the_limit) {
  SlidingWindowLog log(milliseconds(1000));
  cr_assert(max_in_window(admitted_by(log, 40), milliseconds(1000)) == 40);
}

Test(rate_meter, a_counter_stays_close_below_the_limit) {
  SlidingWindowCounter counter(milliseconds(1000));
  const std::size_t most =
      max_in_window(admitted_by(counter, 300), milliseconds(1000));
  cr_assert(most <= 300);
  cr_assert(most >= 290);
}

Test(rate_meter, the_wait_ends_when_enough_requests_have_left_the_window) {
  SlidingWindowLog log(milliseconds(1000));
  log.record(at(100));
  log.record(at(300));
  cr_assert(log.wait(2, at(400)) == milliseconds(700));
  cr_assert(log.wait(1, at(400)) == milliseconds(900));
  cr_assert(log.wait(2, at(1100)) == Duration::zero());
}

Test(rate_meter, a_counter_admits_a_request_after_its_wait) {
  SlidingWindowCounter counter(milliseconds(1000));
  for (int i = 0; i < 300; ++i) {
    counter.record(at(i));
  }
  const Duration wait = counter.wait(300, at(500));
  cr_assert(wait > Duration::zero());
  cr_assert(counter.wait(300, at(500) + wait - Duration(1)) > Duration::zero());
  cr_assert(counter.wait(300, at(500) + wait) == Duration::zero());
}

Test(rate_meter, a_limit_of_zero_admits_nothing) {
  SlidingWindowLog log(milliseconds(1000));
  SlidingWindowCounter counter(milliseconds(1000));
  cr_assert(log.wait(0, at(5)) == milliseconds(1000));
  cr_assert(counter.wait(0, at(5)) >= milliseconds(1000));
}

// Failure: a timestamp older than the newest one leaves the window early, and a
// request is admitted although the window is full.
Test(rate_meter, timestamps_out_of_order_count_for_the_whole_window) {
  SlidingWindowLog log(milliseconds(100));
  log.record(at(50));
  log.record(at(40));
  cr_assert(log.wait(2, at(145)) == milliseconds(5));
}

}  // namespace
}  // namespace ibismux::admission
