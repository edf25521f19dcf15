// What refused callers of one customer are told, in virtual time, by how long
// the customer has been beyond its limit.

#include "ibismux/customers/return_times.h"

#include <algorithm>
#include <array>

#include <criterion/criterion.h>

namespace ibismux::customers::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kNextToken{400};

struct Load {
  ReturnTimes times;
  TimePoint now = Clock::now();

  /// A refusal each 10 ms.
  void refuse(Duration time, bool is_near_limit = false) {
    for (const TimePoint end = this->now + time; this->now < end;
         this->now += milliseconds(10)) {
      this->times.on_refusal(is_near_limit, this->now);
    }
  }

  Duration told() { return this->times.retry_after(kNextToken, this->now); }
};

Test(return_times, a_short_burst_is_told_the_promised_token) {
  Load load;
  cr_assert(load.told() == kNextToken);
  load.refuse(milliseconds(1900));
  cr_assert(load.told() == kNextToken);
}

// Guards against callers that return into the load and are refused again.
Test(return_times, callers_of_a_long_load_stay_away_for_as_long) {
  Load load;
  load.refuse(seconds(6));
  for (int i = 0; i < 100; ++i) {
    const Duration told = load.told();
    cr_assert(told >= milliseconds(5900) && told <= seconds(9));
  }
}

// Guards against callers that were refused together and return together.
Test(return_times, callers_of_a_long_load_are_spread) {
  Load load;
  load.refuse(seconds(6));
  std::array<int, 10> tenths{};
  for (int i = 0; i < 100; ++i) {
    const double place = to_seconds(load.told() - seconds(6)) / 3;
    ++tenths.at(static_cast<std::size_t>(std::clamp(place, 0.0, 0.99) * 10));
  }
  for (const int callers : tenths) {
    cr_assert(callers >= 8 && callers <= 13, "%d", callers);
  }
}

Test(return_times, nobody_is_told_more_than_the_longest_time) {
  Load load;
  load.refuse(seconds(100));
  cr_assert(load.told() == ReturnTimes::kMax);
  cr_assert(load.times.retry_after(seconds(50), load.now) == seconds(50));
}

Test(return_times, a_pause_ends_the_load_and_a_shorter_one_does_not) {
  Load load;
  load.refuse(seconds(4));
  load.now += milliseconds(900);
  load.refuse(milliseconds(100));
  cr_assert(load.told() >= milliseconds(4900));
  load.now += milliseconds(1100);
  cr_assert(load.told() == kNextToken);
  load.refuse(milliseconds(500));
  cr_assert(load.told() == kNextToken);
}

// Guards against a customer that is sent away for half a minute because some of
// its requests at about its limit have been refused in each second.
Test(return_times, a_customer_near_its_limit_is_told_the_promised_token) {
  Load load;
  load.refuse(seconds(60), true);
  cr_assert(load.told() == kNextToken);
  load.refuse(seconds(2));
  cr_assert(load.told() >= seconds(3));
  cr_assert(load.told() <= seconds(6));
}

}  // namespace
}  // namespace ibismux::customers::testing
