#ifndef IBISMUX_DISPATCH_LINK_POOL_H_
#define IBISMUX_DISPATCH_LINK_POOL_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <vector>

#include "ibismux/base/task.h"
#include "ibismux/base/time.h"
#include "ibismux/directory/forward.h"
#include "ibismux/dispatch/leaf_link.h"
#include "ibismux/dispatch/link_plan.h"
#include "ibismux/dispatch/reopen_pause.h"

namespace ibismux::dispatch {

/// This daemon's links to one leaf: those that are open and idle, how many
/// there may be, and when another one may be dialled.
///
/// Belongs to one event loop; not thread safe.
class LinkPool {
 public:
  /// A link that is open.
  struct Acquired {
    std::unique_ptr<LeafLink> link;
    bool is_new = false;  ///< No call went over it yet.
  };

  /// @param connector Outlives the pool.
  /// @param seed Spreads the pauses of daemons.
  LinkPool(const LeafConnector& connector, std::uint64_t seed);

  /// @name How many links there may be
  /// @{
  void grant(LinkGrant grant);
  [[nodiscard]] const LinkGrant& granted() const noexcept {
    return this->grant_in_force;
  }
  /// While closed no link is kept or opened ahead of calls.
  void set_closed(bool closed) noexcept;
  /// @}

  /// @name State
  /// @{
  [[nodiscard]] bool has_idle() const noexcept { return !this->idle.empty(); }
  /// Links that are idle, in use or being opened.
  [[nodiscard]] std::size_t open() const noexcept { return this->open_links; }
  /// A call would find a link, or could open one.
  [[nodiscard]] bool has_room(TimePoint now) const noexcept {
    return this->has_idle() || (this->open_links < this->grant_in_force.most &&
                                !this->is_at_connection_limit(now));
  }
  /// The leaf has all the connections that it accepts, or that it bears now.
  [[nodiscard]] bool is_at_connection_limit(TimePoint now) const noexcept {
    return now < this->no_dial_before;
  }
  /// Whether a link should be opened before a call needs it: links are kept
  /// here, and none is open. Idle links that the leaf has closed are dropped.
  [[nodiscard]] bool wants_link(TimePoint now);
  /// @}

  /// @name Links
  /// @{
  /// An idle link, if there is one.
  [[nodiscard]] std::optional<Acquired> take_idle();
  /// A new link. The pool outlives the task.
  [[nodiscard]] Task<Result<Acquired>> dial(const directory::LeafEntry& entry,
                                            TimePoint deadline);
  /// Keeps a link that was acquired, or closes it.
  /// @param used A call went over it.
  void give_back(std::unique_ptr<LeafLink> link, bool used);
  /// @}

  /// @name What calls tell of the leaf
  /// @{
  /// A leaf that has all the connections it bears resets those that come
  /// beyond, right after they were made. Dialled again at once, with others
  /// doing the same, it does nothing else.
  /// @return How long no link is dialled.
  Duration note_connection_limit(TimePoint now);
  /// The leaf has answered: its limit isn't reached.
  void note_answer() noexcept { this->dial_pause = Duration::zero(); }
  /// @}

 private:
  struct IdleLink {
    std::unique_ptr<LeafLink> link;
    bool used = false;  ///< A call went over it since it was opened.
  };

  void close_idle() noexcept;

  const LeafConnector& connector;
  LinkGrant grant_in_force;
  bool closed = false;
  std::size_t open_links = 0;
  std::vector<IdleLink> idle;
  ReopenPause reopen;

  // While dials are reset after they were accepted.
  TimePoint no_dial_before = TimePoint::min();
  Duration dial_pause{0};
  pcg32 random;
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_LINK_POOL_H_
