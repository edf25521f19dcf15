#include "ibismux/customers/rate_owner.h"

#include "ibismux/customers/rate_parts.h"

#include <criterion/criterion.h>

namespace ibismux::customers::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Fixture {
  RateTolerance tolerance{seconds(5), 0.1, 20};
  RateOwner owner{this->tolerance};
  TimePoint start = Clock::now();
  TimePoint now = this->start;
  TimePoint owned_since = this->start;

  int take(int count, RateLimit limit, std::uint64_t configuration = 1) {
    int granted = 0;
    for (int i = 0; i < count; ++i) {
      granted += this->owner
                         .take("c", limit, configuration, false,
                               this->owned_since, this->now)
                         .granted
                     ? 1
                     : 0;
    }
    return granted;
  }
};

// Guards against a window in which a restarted owner grants again what it had
// granted before.
Test(rate_owner, starts_with_an_empty_bucket) {
  Fixture fixture;
  cr_assert(fixture.take(10, {300, 100}) == 0);
  fixture.now += milliseconds(100);
  const int granted = fixture.take(100, {300, 100});
  cr_assert(granted >= 10 && granted <= 12);
}

// Guards against customers with small rates that wait for seconds after a start
// of the whole fleet.
Test(rate_owner, a_small_customer_gets_its_first_tokens_soon) {
  Fixture fixture;
  fixture.now += milliseconds(1200);
  cr_assert(fixture.take(10, {0.3, 0.3}) == 1);
  fixture.now += seconds(60);
  cr_assert(fixture.take(10, {0.3, 0.3}) == 1);
}

Test(rate_owner, a_customer_that_is_new_here_has_what_accrued_before) {
  Fixture fixture;
  fixture.now += seconds(60);
  cr_assert(fixture.take(100, {1, 6}) == 3);  // (6 + 3) / 3
}

Test(rate_owner, a_lower_limit_binds_at_once) {
  Fixture fixture;
  fixture.now += seconds(60);
  cr_assert(fixture.take(20, {300, 100}, 1) == 20);
  cr_assert(fixture.take(100, {3, 3}, 2) == 2);  // (3 + 3) / 3
  fixture.now += seconds(10);
  cr_assert(fixture.take(100, {300, 100}, 1) == 2);
}

Test(rate_owner, refused_callers_return_one_after_the_other) {
  Fixture fixture;
  const RateLimit limit{30, 0};
  Duration before = Duration::zero();
  for (int i = 0; i < 5; ++i) {
    const auto decision =
        fixture.owner.take("c", limit, 1, false, fixture.start, fixture.now);
    cr_assert(!decision.granted && decision.retry_after > before);
    before = decision.retry_after;
  }
  cr_assert(before < seconds(1));
}

// Guards against promises that come later than the tokens just after a start,
// when buckets refill faster.
Test(rate_owner, a_promise_after_a_start_is_when_the_token_is_free) {
  for (const RateLimit limit : {RateLimit{5, 0}, {0.3, 0.3}, {60, 30}}) {
    Fixture fixture;
    const auto promised =
        fixture.owner.take("c", limit, 1, false, fixture.start, fixture.start);
    fixture.now += promised.retry_after - milliseconds(1);
    cr_assert(fixture.take(1, limit) == 0);
    fixture.now += milliseconds(1);
    cr_assert(fixture.take(1, limit) == 1);
  }
}

Test(rate_owner, a_limit_that_was_owned_by_another_daemon_starts_empty) {
  Fixture fixture;
  fixture.now += seconds(60);
  cr_assert(fixture.take(1, {300, 100}) == 1);
  fixture.owner.retain([](const std::string&) { return false; });
  fixture.owned_since = fixture.now;
  cr_assert(fixture.take(1, {300, 100}) == 0);
}

Test(rate_parts, add_up_to_what_the_tolerance_allows) {
  for (const RateLimit limit : {RateLimit{44, 10}, {0.28, 1}, {1000, 0}}) {
    const RateTolerance tolerance{seconds(5), 0.1, 20};
    const RateParts parts(limit, tolerance);
    const TokenBucket::Size bucket = parts.owner_bucket();
    cr_assert(bucket.per_second * kOwners >= limit.per_second - 1e-9);
    cr_assert(bucket.per_second <= bucket.starting_per_second + 1e-9);
    const double owners =
        kOwners * (bucket.starting_per_second * 5 + bucket.capacity);
    const double longest =
        kOwners * (bucket.starting_per_second * 15 + bucket.capacity);
    const double allowed = (limit.per_second * 5 + limit.burst) * 1.1 + 20;
    cr_assert(owners + parts.ungranted_share() * longest <= allowed + 1e-6);
  }
}

}  // namespace
}  // namespace ibismux::customers::testing
