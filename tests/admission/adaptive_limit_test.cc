#include "ibismux/admission/adaptive_limit.h"

#include "ibismux/admission/load_limiter.h"
#include "ibismux/admission/request_end.h"

#include <criterion/criterion.h>

namespace ibismux::admission {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTypicalLatency{10};

TimePoint at(std::int64_t ms) {
  return TimePoint(std::chrono::hours(1)) + milliseconds(ms);
}

/// Runs ten concurrent requests with the stretch `stretch`, which end 30 ms
/// after `ms`.
void run_ten(AdaptiveLimit& limit, double stretch, int ms) {
  limit.on_admitted(10);
  for (std::uint32_t i = 0; i < 10; ++i) {
    limit.on_finished(stretch, kTypicalLatency, 9 - i, at(ms + 30));
  }
}

/// The leaf wait of a request whose calls took `stretch` times their work.
LeafWait waited(int stretch) {
  LeafWait wait;
  wait.add(kTypicalLatency * (stretch - 1), kTypicalLatency);
  return wait;
}

/// Runs a hundred batches of three concurrent bench lookups that all end with
/// `error` after `latency`.
void run_batches_of_three(LoadLimiter& limiter,
                          std::optional<ErrorKind> error,
                          Duration latency) {
  for (int i = 0; i < 300; ++i) {
    cr_assert(limiter.try_acquire(Priority::kBench, at(30 * i)) ==
              Duration::zero());
    if (i % 3 == 2) {
      for (int j = 0; j < 3; ++j) {
        limiter.finish(Priority::kBench, latency, {error, waited(1)},
                       at(30 * i));
      }
    }
  }
}

Test(adaptive_limit, grows_while_in_use_and_requests_do_not_wait) {
  AdaptiveLimit limit(10);
  run_ten(limit, 1.1, 0);
  cr_assert(limit.limit() > 10.7);
  AdaptiveLimit unused(100);
  run_ten(unused, 1.1, 0);
  cr_assert(unused.limit() == 100);
}

Test(adaptive_limit, waiting_requests_lower_it_by_a_bounded_step) {
  AdaptiveLimit limit(10);
  run_ten(limit, 50, 0);
  cr_assert(limit.limit() >= 7 && limit.limit() < 10);
  for (int i = 1; i < 50; ++i) {
    run_ten(limit, 50, 100 * i);
  }
  cr_assert(limit.limit() == 1);
}

// Failure: a few slow leafs lower the limit, and queries are refused as
// overloaded although the other leafs have capacity.
Test(adaptive_limit, stragglers_do_not_lower_the_limit) {
  AdaptiveLimit limit(10);
  for (int i = 0; i < 1000; ++i) {
    limit.on_admitted(10);
    limit.on_finished(i % 10 < 3 ? 20 : 1.1, kTypicalLatency, 9, at(10 * i));
  }
  cr_assert(limit.limit() >= 10);
}

// Failure: the limit rises too slowly after an overload has ended, and requests
// are shed for minutes.
Test(adaptive_limit, recovers_fast_after_refusals) {
  AdaptiveLimit limit(1);
  for (int i = 0; i < 5; ++i) {
    limit.on_refused();
    limit.on_admitted(static_cast<std::uint32_t>(limit.limit()));
    limit.on_finished(1, kTypicalLatency, 0, at(100 * i));
  }
  cr_assert(limit.limit() == 6);
}

// Failure: bench lookups are shed because editors, a lower class, overload the
// leafs.
Test(load_limiter,
     a_slow_lower_class_does_not_lower_the_limit_of_a_higher_one) {
  LoadLimiter limiter(8);
  for (int i = 0; i < 200; ++i) {
    const TimePoint now = at(10 * i);
    if (limiter.try_acquire(Priority::kEditor, now) == Duration::zero()) {
      const int stretch = i < 32 ? 1 : 40;
      limiter.finish(Priority::kEditor, kTypicalLatency * stretch,
                     {std::nullopt, waited(stretch)}, now);
    }
  }
  cr_assert(limiter.current_limit(Priority::kEditor) < 2);
  cr_assert(limiter.current_limit(Priority::kBench) == 8);
  for (int i = 0; i < 8; ++i) {
    cr_assert(limiter.try_acquire(Priority::kBench, at(3000)) ==
              Duration::zero());
  }
  cr_assert(limiter.try_acquire(Priority::kEditor, at(3000)) >
            Duration::zero());
}

// Failure: while leafs are down, quick failures raise the limit, and requests
// are admitted that can only fail.
Test(load_limiter, quick_failures_do_not_raise_a_limit) {
  LoadLimiter limiter(4);
  run_batches_of_three(limiter, ErrorKind::kCoverageTooLow, milliseconds(1));
  run_batches_of_three(limiter, ErrorKind::kDeadlineExceeded, milliseconds(1));
  run_batches_of_three(limiter, ErrorKind::kCancelled, milliseconds(1));
  cr_assert(limiter.current_limit(Priority::kBench) == 4);
  run_batches_of_three(limiter, std::nullopt, kTypicalLatency);
  cr_assert(limiter.current_limit(Priority::kBench) > 4);
}

Test(load_limiter, slow_failures_lower_a_limit) {
  LoadLimiter limiter(4);
  for (int i = 0; i < 200; ++i) {
    if (limiter.try_acquire(Priority::kBench, at(100 * i)) ==
        Duration::zero()) {
      const bool slow = i > 50;
      limiter.finish(
          Priority::kBench, kTypicalLatency * (slow ? 50 : 1),
          {slow ? std::optional(ErrorKind::kDeadlineExceeded) : std::nullopt,
           waited(1)},
          at(100 * i + 50));
    }
  }
  cr_assert(limiter.current_limit(Priority::kBench) < 2);
}

}  // namespace
}  // namespace ibismux::admission
