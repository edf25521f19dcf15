#include "ibismux/customers/token_wait.h"

#include "ibismux/customers/owner_refusals.h"
#include "ibismux/customers/rate_check.h"

#include <criterion/criterion.h>

namespace ibismux::customers::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Fixture {
  TimePoint now = Clock::now();
  TokenWait waits{{.requests = 2, .bytes = 100}};

  /// A request that must start within 90 ms, for a token `in` some time.
  std::optional<TimePoint> decide(milliseconds in,
                                  int waited = 0,
                                  bool is_late = false,
                                  std::size_t bytes = 0) {
    RateCheck check;
    check.latest_start = this->now + milliseconds(90);
    check.is_late = is_late;
    check.bytes = bytes;
    return this->waits.decide(check, this->now + in, waited, this->now);
  }
};

// Guards against refusals of a burst at about the limit.
Test(token_wait, a_request_waits_for_a_token_that_comes_in_time) {
  Fixture fixture;
  cr_assert(fixture.decide(milliseconds(60)) == fixture.now + milliseconds(60));
  cr_assert(fixture.decide(milliseconds(-10)) == fixture.now);
}

// Guards against requests that are held although their answers will be late.
Test(token_wait, a_token_that_comes_too_late_is_not_waited_for) {
  Fixture fixture;
  cr_assert(!fixture.decide(milliseconds(89)));
  cr_assert(!fixture.decide(milliseconds(10), 0, true));
}

Test(token_wait, a_request_waits_twice_at_most) {
  Fixture fixture;
  cr_assert(fixture.decide(milliseconds(10), 1));
  cr_assert(!fixture.decide(milliseconds(10), 2));
}

// Guards against a flood of one customer that uses up the daemon's memory.
Test(token_wait, requests_that_wait_are_bounded_in_number_and_bytes) {
  Fixture fixture;
  const auto decide = [&fixture](std::size_t bytes) {
    return fixture.decide(milliseconds(10), 0, false, bytes).has_value();
  };
  cr_assert(decide(60));
  cr_assert(!decide(60));
  cr_assert(decide(40));
  cr_assert(!decide(0));
  fixture.waits.release(60);
  cr_assert(decide(0));
}

// Guards against callers that are told a time at which there is no token.
Test(owner_refusals, a_refusal_without_a_question_tells_the_promised_token) {
  const TimePoint now = Clock::now();
  const TimePoint token = now + seconds(2);
  OwnerRefusals refusals;
  refusals.record("a", token, now);
  const TimePoint soon = now + milliseconds(90);
  cr_assert(refusals.next_token("a", TimePoint::min(), soon) == token);
  cr_assert(!refusals.next_token("b", TimePoint::min(), soon));
  cr_assert(
      !refusals.next_token("a", TimePoint::min(), now + milliseconds(101)));
}

// Guards against requests of a burst that all wait for the same token.
Test(owner_refusals, an_owner_with_a_token_in_time_is_asked_for_one_more) {
  const TimePoint now = Clock::now();
  OwnerRefusals refusals;
  refusals.record("a", now + milliseconds(50), now);
  cr_assert(!refusals.next_token("a", now + milliseconds(80), now));
  cr_assert(refusals.next_token("a", now + milliseconds(40), now));
}

}  // namespace
}  // namespace ibismux::customers::testing
