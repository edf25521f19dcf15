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

/// What a call asks of a leaf of its service.
struct SelectionCriteria {
  Duration usual;      ///< What such a call takes at the median leaf.
  Duration objective;  ///< Within which its caller wants the answer.
  /// Leafs that have had this request already.
  const std::vector<std::shared_ptr<Leaf>>* tried = nullptr;
  /// Zones that the request may be sent to; null: all of them.
  const ZoneNames* zones = nullptr;
  /// A repeat is worth its cost only at a leaf that will answer soon:
  /// unresponsive leafs are left out.
  bool is_repeat = false;
};

/// The leafs of one service, and what all requests for it share: the choice of
/// a leaf, the budget of repeats, and the queue for those that find no link.
///
/// Belongs to one event loop; not thread safe.
class ServiceGroup {
 public:
  /// @param settings Outlives the group.
  /// @param repeat_burst Repeats that may be saved up.
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
  /// Some leaf may take calls, now or once it has room.
  /// @param zones The zones whose leafs count; null: all of them.
  /// @param tried Leafs that don't count.
  [[nodiscard]] bool can_serve(
      const ZoneNames* zones = nullptr,
      const std::vector<std::shared_ptr<Leaf>>& tried = {}) const noexcept;
  /// When to come back where none of `zones` can; null: all of them.
  [[nodiscard]] std::chrono::milliseconds retry_after(
      TimePoint now,
      const ZoneNames* zones = nullptr) const;
  /// @}

  /// A leaf of this zone that has room and is at ease; else the leaf with room
  /// that is expected to answer first, or null. Unresponsive leafs are taken
  /// only where there are no others.
  [[nodiscard]] std::shared_ptr<Leaf> choose(const SelectionCriteria& criteria,
                                             TimePoint now) const;

  /// What kept a call that goes to `chosen` from the leafs of this zone.
  [[nodiscard]] ZoneExit zone_exit(const Leaf& chosen,
                                   const SelectionCriteria& criteria,
                                   TimePoint now) const;

  /// @name Budget of repeats
  /// @{
  /// The first arrival of a request at this service.
  void count_first() noexcept;
  /// Replaces how many repeats may be saved up.
  void set_repeat_burst(double most) noexcept { this->repeats.set_burst(most); }
  /// Takes one repeat. @return False if there is none left.
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
  /// A leaf has room again, or one came: starts who waits, as far as it goes.
  void serve_waiting();
  /// Looks again when cold leafs may take their next calls. To be called after
  /// a call has joined the queue.
  void await_warmer_leafs();
  /// A call took this long at its leaf.
  void note_call(Duration took) noexcept { this->call_time.add(took); }
  /// How long a call of `priority` that comes now would wait for a leaf of
  /// `zones` (null: of any zone), by how long recent calls took. Zero where
  /// nobody waits.
  [[nodiscard]] Duration expected_wait(std::uint32_t priority,
                                       const ZoneNames* zones = nullptr) const;
  /// @}

 private:
  // Half a second's worth of calls on a small site.
  static constexpr int kAverageOver = 32;

  [[nodiscard]] bool is_own_zone(const Leaf& leaf) const noexcept;
  /// Why the leaf can't be given the call now; nothing where it can.
  [[nodiscard]] static std::optional<ZoneExit> what_rules_out(
      const Leaf& leaf,
      const SelectionCriteria& criteria);
  [[nodiscard]] bool is_unresponsive(const Leaf& leaf,
                                     const SelectionCriteria& criteria,
                                     TimePoint now) const;
  /// Answers about as usual, and has a slot free for the call.
  [[nodiscard]] bool is_at_ease(const Leaf& leaf,
                                const SelectionCriteria& criteria,
                                TimePoint now) const;
  /// @param only_at_ease_here Looks at leafs at ease of this zone only.
  [[nodiscard]] std::shared_ptr<Leaf> cheapest(
      const SelectionCriteria& criteria,
      TimePoint now,
      bool only_at_ease_here) const;
  [[nodiscard]] ZoneExit what_keeps_from(const Leaf& leaf,
                                         const SelectionCriteria& criteria,
                                         TimePoint now) const;
  [[nodiscard]] Duration cost(const Leaf& leaf,
                              const SelectionCriteria& criteria,
                              TimePoint now) const;

  const std::string service;
  const DispatchSettings& settings;
  std::vector<std::shared_ptr<Leaf>> members;
  FractionBudget repeats;
  CallQueue waiting;
  MovingAverage call_time{kAverageOver};  ///< What a call takes.
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_SERVICE_GROUP_H_
