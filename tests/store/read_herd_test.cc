#include <optional>
#include <pcg_random.hpp>
#include <queue>
#include <random>
#include <vector>

#include "ibismux/store/call_budget.h"
#include "ibismux/store/fleet_budget.h"

#include <criterion/criterion.h>

namespace ibismux::store {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kDaemons = 2400;
constexpr int kReadsEach = 20;
constexpr int kCap = 2000;  ///< Reads a second that the platform takes.
constexpr TimePoint kStart{seconds(1000)};

struct Daemon {
  CallBudget budget;
  int left = kReadsEach;
  int failures = 0;
};

struct Outcome {
  int calls = 0;
  int refused = 0;
  Duration last{};
};

/// Every daemon reads `kReadsEach` times at once, on virtual time, and backs
/// off from 100 ms to 5 s when it is refused.
class Herd {
 public:
  Herd() {
    const auto rates = share_of(FleetBudget{}, kDaemons);
    for (std::size_t i = 0; i < kDaemons; ++i) {
      this->daemons.push_back({CallBudget(rates, kStart)});
      this->queue.push({kStart + this->within(milliseconds(100)), i});
    }
  }

  Outcome run() {
    while (!this->queue.empty()) {
      const auto [now, index] = this->queue.top();
      this->queue.pop();
      Daemon& daemon = this->daemons[index];
      const Duration wait = daemon.budget.until_next(CallKind::kRead, now);
      if (!daemon.budget.take(CallKind::kRead, now)) {
        this->queue.push(
            {now + std::max<Duration>(wait, milliseconds(1)), index});
      } else if (const auto again = this->call(daemon, now)) {
        this->queue.push({now + *again, index});
      }
    }
    return this->outcome;
  }

 private:
  using Event = std::pair<TimePoint, std::size_t>;

  /// @return When the daemon calls again.
  std::optional<Duration> call(Daemon& daemon, TimePoint now) {
    const auto second = std::chrono::floor<seconds>(now);
    this->in_second = second == this->current ? this->in_second + 1 : 1;
    this->current = second;
    ++this->outcome.calls;
    if (this->in_second > kCap) {
      ++this->outcome.refused;
      daemon.budget.rate_limited(CallKind::kRead, now);
      const auto backoff =
          milliseconds(100) * (1 << std::min(++daemon.failures, 6));
      return backoff / 2 + this->within(backoff / 2);
    }
    daemon.budget.taken(CallKind::kRead, now);
    daemon.failures = 0;
    this->outcome.last = now - kStart;
    return --daemon.left > 0 ? std::optional<Duration>(milliseconds(3))
                             : std::nullopt;
  }

  Duration within(Duration most) {
    return Duration(std::uniform_int_distribution<Duration::rep>(
        0, most.count())(this->random));
  }

  pcg32 random{7};
  std::vector<Daemon> daemons;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> queue;
  std::chrono::time_point<Clock, seconds> current;
  int in_second = 0;
  Outcome outcome;
};

// Failure: while all daemons read at once, a publisher's read is refused too.
Test(read_herd, a_herd_leaves_the_platform_room_for_others) {
  const Outcome outcome = Herd().run();
  cr_assert(outcome.calls - outcome.refused ==
            static_cast<int>(kDaemons) * kReadsEach);
  cr_assert(outcome.refused * 5 < outcome.calls, "%d of %d refused",
            outcome.refused, outcome.calls);
  cr_assert(outcome.last < seconds(60));
  cr_log_info("%d of %d calls refused, last done after %ld ms", outcome.refused,
              outcome.calls, static_cast<long>(to_millis(outcome.last)));
}

}  // namespace
}  // namespace ibismux::store
