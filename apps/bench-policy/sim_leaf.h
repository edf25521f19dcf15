#ifndef IBISMUX_APPS_BENCH_POLICY_SIM_LEAF_H_
#define IBISMUX_APPS_BENCH_POLICY_SIM_LEAF_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <string>

#include "apps/bench-policy/timeline.h"
#include "ibismux/base/error.h"
#include "ibismux/base/ids.h"
#include "ibismux/base/priority.h"

namespace ibismux::bench {

/// How long leafs work on a call.
struct WorkModel {
  Duration mean = std::chrono::milliseconds(10);
  double slow_share = 0;   ///< Of calls.
  double slow_factor = 1;  ///< How many times longer those take.

  [[nodiscard]] Duration draw(pcg64& random) const;
};

/// One call as a simulated leaf sees it.
struct SimCall {
  CallId id;
  Priority priority = Priority::kCatalogue;
  TimePoint deadline;
  std::string snapshot;
  std::string shard;
  std::function<
      void(Result<std::string>, Duration queue_time, Duration leaf_time)>
      answer;
};

/// A leaf with its gateway's queue: slots, a queue by priority in front, and
/// calls dropped at their deadline or when cancelled.
class SimLeaf {
 public:
  SimLeaf(Timeline& timeline, pcg64& random, WorkModel work, int slots)
      : timeline(timeline), random(random), work(work), slots(slots) {}

  /// From now on calls take `factor` times the work.
  void slow_down(int factor) noexcept { this->work.mean *= factor; }

  /// From now on it refuses every call.
  void refuse_all() noexcept { this->refuses = true; }

  /// From now on it holds `snapshot`; those that it was never given it holds
  /// always.
  void load(const std::string& snapshot) { this->held[snapshot] = true; }
  void drop(const std::string& snapshot) { this->held[snapshot] = false; }

  void submit(SimCall call);
  void cancel(const CallId& id);

  [[nodiscard]] std::uint64_t calls() const noexcept { return this->received; }

 private:
  struct Job {
    SimCall call;
    TimePoint queued;
    bool gone = false;
    bool running = false;
  };

  void start_next();
  void start(const std::shared_ptr<Job>& job);

  Timeline& timeline;
  pcg64& random;
  WorkModel work;
  int slots;
  int busy = 0;
  bool refuses = false;
  std::map<std::string, bool> held;
  std::uint64_t received = 0;
  std::array<std::deque<std::shared_ptr<Job>>, kPriorities> queues;
  std::deque<std::shared_ptr<Job>> running;
};

}  // namespace ibismux::bench

#endif  // IBISMUX_APPS_BENCH_POLICY_SIM_LEAF_H_
