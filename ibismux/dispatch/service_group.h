#ifndef IBISMUX_DISPATCH_SERVICE_GROUP_H_
#define IBISMUX_DISPATCH_SERVICE_GROUP_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "ibismux/base/fraction_budget.h"
#include "ibismux/base/moving_average.h"
#include "ibismux/base/time.h"
#include "ibismux/base/zone_sizes.h"
#include "ibismux/dispatch/call_queue.h"
#include "ibismux/dispatch/forward.h"
#include "ibismux/dispatch/zone_exit.h"

namespace ibismux::dispatch {

/// What the choice of a leaf for one call depends on.
struct SelectionCriteria {
  Duration typical_latency;  ///< Latency of such a call at the median leaf.
  Duration objective;        ///< Latency objective of the route.
  /// Leafs that have already been sent this request; null: none.
  const std::vector<std::shared_ptr<Leaf>>* tried = nullptr;
  /// Zones that the request may be sent to; null: all of them.
  const ZoneNames* zones = nullptr;
  /// The call is a retry or a hedge. Unresponsive leafs are then excluded, as a
  /// repeat is worth its cost only at a leaf that will answer soon.
  bool is_repeat = false;
  /// The leaf that is expected to answer first, also one of another zone.
  bool fastest = false;
};

/// The leafs of one service and the state that all requests for it share: leaf
/// selection, the budget of repeats (retries and hedges), and the queue of
/// calls that wait for a leaf with room.
///
/// Belongs to one event loop; not thread safe.
class ServiceGroup {
 public:
  /// @param settings Outlives the group.
  /// @param repeat_burst Most repeats that the budget can hold.
  ServiceGroup(std::string name,
               const DispatchSettings& settings,
               double repeat_burst);

  [[nodiscard]] const std::string& name() const noexcept {
    return this->service;
  }

  /// @name Leafs
  /// @{
  void add(std::shared_ptr<Leaf> leaf);
  void remove(const Leaf& leaf);
  [[nodiscard]] const std::vector<std::shared_ptr<Leaf>>& leafs()
      const noexcept {
    return this->members;
  }
  /// Whether some leaf may be given calls, now or once it has room.
  /// @param zones Only leafs of these zones count; null: of all zones.
  /// @param tried Leafs that don't count.
  [[nodiscard]] bool can_serve(
      const ZoneNames* zones = nullptr,
      const std::vector<std::shared_ptr<Leaf>>& tried = {}) const noexcept;
  /// Time after which callers should retry when no leaf of `zones` can serve
  /// them; null: of any zone.
  [[nodiscard]] std::chrono::milliseconds retry_after(
      TimePoint now,
      const ZoneNames* zones = nullptr) const;
  /// @}

  /// Chooses a leaf: a healthy leaf of this zone with a free slot if there is
  /// one, otherwise the leaf with room and the least expected cost, or null.
  /// Unresponsive leafs are chosen only if there are no others.
  [[nodiscard]] std::shared_ptr<Leaf> choose(const SelectionCriteria& criteria,
                                             TimePoint now) const;

  /// Why a call that is sent to `chosen` doesn't stay in this zone.
  [[nodiscard]] ZoneExit zone_exit(const Leaf& chosen,
                                   const SelectionCriteria& criteria,
                                   TimePoint now) const;

  /// @name Budget of repeats
  /// @{
  /// Counts the first attempt of a request, which adds to the budget.
  void record_first_attempt() noexcept;
  /// Sets the most repeats that the budget can hold.
  void set_repeat_burst(double most) noexcept { this->repeats.set_burst(most); }
  /// Takes one repeat from the budget. @return False if none is left.
  [[nodiscard]] bool take_repeat() noexcept { return this->repeats.take(); }
  [[nodiscard]] double repeats_left() const noexcept {
    return this->repeats.tokens();
  }
  /// @}

  /// @name Calls that wait for a leaf with room
  /// @{
  [[nodiscard]] CallQueue& queue() noexcept { return this->waiting; }
  [[nodiscard]] const CallQueue& queue() const noexcept {
    return this->waiting;
  }
  /// Starts queued calls while there are leafs with room. To be called when a
  /// leaf has room again or was added.
  void serve_waiting();
  /// Has the queue served again when cold leafs may be given their next calls.
  /// To be called after a call has joined the queue.
  void schedule_queue_retry();
  /// Records how long a call took at its leaf.
  void record_call_time(Duration took) noexcept { this->call_time.add(took); }
  /// Estimated queueing time of a call of `priority` and `share` that arrives
  /// now, for a leaf of `zones` (null: of any zone), from the duration of
  /// recent calls. Zero if no call that would be served before it is waiting.
  [[nodiscard]] Duration expected_wait(std::uint32_t priority,
                                       const fairness::Share& share,
                                       const ZoneNames* zones = nullptr) const;
  /// @}

 private:
  // The calls of about half a second at a small site.
  static constexpr int kAveragedCalls = 32;

  [[nodiscard]] bool is_own_zone(const Leaf& leaf) const noexcept;
  /// Why the leaf can't be given the call now, or nothing if it can.
  [[nodiscard]] static std::optional<ZoneExit> exclusion_reason(
      const Leaf& leaf,
      const SelectionCriteria& criteria);
  [[nodiscard]] bool is_unresponsive(const Leaf& leaf,
                                     const SelectionCriteria& criteria,
                                     TimePoint now) const;
  /// Whether the leaf keeps links, has a free slot for the call, is responsive,
  /// and its latency and failure share are about as usual.
  [[nodiscard]] bool is_healthy_with_free_slot(
      const Leaf& leaf,
      const SelectionCriteria& criteria,
      TimePoint now) const;
  /// @param only_healthy_in_own_zone Considers only healthy leafs of this zone.
  [[nodiscard]] std::shared_ptr<Leaf> cheapest(
      const SelectionCriteria& criteria,
      TimePoint now,
      bool only_healthy_in_own_zone) const;
  [[nodiscard]] ZoneExit zone_exit_due_to(const Leaf& leaf,
                                          const SelectionCriteria& criteria,
                                          TimePoint now) const;
  [[nodiscard]] Duration cost(const Leaf& leaf,
                              const SelectionCriteria& criteria,
                              TimePoint now) const;

  const std::string service;
  const DispatchSettings& settings;
  /// Where the search for the cheapest leaf begins. Differs from daemon to
  /// daemon: daemons that make few calls know no leaf to be better than the
  /// others, and would all choose the first one.
  const std::size_t first_choice;
  std::vector<std::shared_ptr<Leaf>> members;
  FractionBudget repeats;
  CallQueue waiting;
  MovingAverage call_time{kAveragedCalls};  ///< Duration of recent calls.
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_SERVICE_GROUP_H_
