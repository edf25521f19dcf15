#ifndef IBISMUX_APPS_BENCH_POLICY_TIMELINE_H_
#define IBISMUX_APPS_BENCH_POLICY_TIMELINE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "ibismux/base/time.h"

namespace ibismux::bench {

/// Virtual time: events run in order of their times, those of one time in the
/// order they were set. No clock is read, so a run depends on its seed alone.
class Timeline {
 public:
  [[nodiscard]] TimePoint now() const noexcept { return this->current; }

  void at(TimePoint when, std::function<void()> event) {
    this->events.push({when, this->count++, std::move(event)});
  }

  void after(Duration delay, std::function<void()> event) {
    this->at(this->current + delay, std::move(event));
  }

  /// Runs every event, also those that come up meanwhile.
  void run() {
    while (!this->events.empty()) {
      // The top can't be moved out; it is popped before it runs anyway.
      Event next = std::move(const_cast<Event&>(this->events.top()));
      this->events.pop();
      this->current = next.when;
      next.run();
    }
  }

 private:
  struct Event {
    TimePoint when;
    std::uint64_t order;
    std::function<void()> run;

    bool operator<(const Event& other) const noexcept {
      return std::pair(this->when, this->order) >
             std::pair(other.when, other.order);
    }
  };

  TimePoint current = TimePoint(std::chrono::hours(1));
  std::uint64_t count = 0;
  std::priority_queue<Event> events;
};

}  // namespace ibismux::bench

#endif  // IBISMUX_APPS_BENCH_POLICY_TIMELINE_H_
