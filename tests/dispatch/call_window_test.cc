#include "ibismux/dispatch/call_window.h"

#include <criterion/criterion.h>

#include <deque>
#include <queue>
#include <vector>

namespace ibismux::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kWork{6};

Test(call_window, starts_at_its_maximum) {
  CallWindow window;
  window.set_max(3);
  cr_assert(window.size() == 3);
}

Test(call_window, one_call_delayed_by_a_pause_changes_nothing) {
  CallWindow window;
  window.set_max(3);
  const TimePoint now = Clock::now();
  window.on_answer(kWork, kWork, 2, now);
  window.on_answer(milliseconds(12), kWork, 2, now);
  cr_assert(window.size() == 3);
}

Test(call_window, shrinks_at_high_latency_and_grows_again) {
  CallWindow window;
  window.set_max(3);
  TimePoint now = Clock::now();
  for (int i = 0; i < 20; ++i) {
    now += milliseconds(30);
    window.on_answer(milliseconds(30), kWork, 3, now);
  }
  cr_assert(window.size() == 1);
  for (int i = 0; i < 40; ++i) {
    now += kWork;
    window.on_answer(kWork, kWork, window.size(), now);
  }
  cr_assert(window.size() == 3);
}

Test(call_window, a_slow_leaf_with_one_call_at_a_time_keeps_its_window) {
  CallWindow window;
  window.set_max(3);
  TimePoint now = Clock::now();
  for (int i = 0; i < 20; ++i) {
    now += milliseconds(60);
    window.on_answer(milliseconds(60), kWork, 1, now);
  }
  cr_assert(window.size() == 3);
}

/// One leaf and the daemons that call it, each of which always has a call to
/// send. This corresponds to four times the normal load, at which the queue of
/// every daemon is never empty.
class LoadedLeaf {
 public:
  static constexpr std::size_t kDaemons = 7;
  static constexpr std::size_t kSlots = 2;
  static constexpr std::size_t kQueue = 12;

  LoadedLeaf() : daemons(kDaemons) {
    for (Daemon& daemon : this->daemons) {
      daemon.window.set_max(3);
    }
  }

  /// Calls that were rejected and calls that were answered after `from`.
  struct Counts {
    int rejected = 0;
    int answered = 0;
  };
  Counts run(Duration from, Duration until) {
    for (Duration t{0}; t < until; t += kTick) {
      this->now = TimePoint() + seconds(1) + t;
      this->end_work(t >= from);
      for (Daemon& daemon : this->daemons) {
        this->send(daemon, t >= from);
      }
    }
    return this->counts;
  }

 private:
  static constexpr milliseconds kTick{1};

  struct Daemon {
    CallWindow window;
    std::size_t in_flight = 0;
    TimePoint pause_until = TimePoint::min();
  };
  struct Call {
    Daemon* from;
    TimePoint sent;
    TimePoint done;
  };

  void send(Daemon& daemon, bool count) {
    while (daemon.in_flight < daemon.window.size() &&
           this->now >= daemon.pause_until) {
      if (this->working.size() + this->queued.size() >= kSlots + kQueue) {
        this->counts.rejected += count ? 1 : 0;
        daemon.window.on_rejected(this->now);
        // The next call belongs to another request and comes a moment later.
        daemon.pause_until = this->now + kWork;
        return;
      }
      ++daemon.in_flight;
      this->queued.push_back({&daemon, this->now, {}});
      this->start_work();
    }
  }

  void start_work() {
    while (this->working.size() < kSlots && !this->queued.empty()) {
      Call call = this->queued.front();
      this->queued.pop_front();
      call.done = this->now + kWork;
      this->working.push_back(call);
    }
  }

  void end_work(bool count) {
    while (!this->working.empty() && this->working.front().done <= this->now) {
      const Call call = this->working.front();
      this->working.pop_front();
      this->counts.answered += count ? 1 : 0;
      call.from->window.on_answer(this->now - call.sent, kWork,
                                  call.from->in_flight, this->now);
      --call.from->in_flight;
      this->start_work();
    }
  }

  std::vector<Daemon> daemons;
  std::deque<Call> queued;
  std::deque<Call> working;
  TimePoint now;
  Counts counts;
};

// Guards against sending fully loaded leafs as many calls as idle ones.
Test(call_window, daemons_fill_the_slots_of_a_loaded_leaf_but_not_its_queue) {
  LoadedLeaf leaf;
  const LoadedLeaf::Counts counts = leaf.run(seconds(1), seconds(5));
  cr_assert(counts.rejected == 0);
  const auto most = static_cast<int>(LoadedLeaf::kSlots * (seconds(4) / kWork));
  cr_assert(counts.answered > most * 95 / 100);
}

}  // namespace
}  // namespace ibismux::dispatch
