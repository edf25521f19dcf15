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

/// Connection pool of this daemon for one leaf: holds the idle links, limits
/// the number of links, and decides when another link may be dialled.
///
/// Belongs to one event loop; not thread safe.
class LinkPool {
 public:
  /// An open link.
  struct Acquired {
    std::unique_ptr<LeafLink> link;
    bool is_new = false;  ///< It has not carried a call.
  };

  /// @param connector Must outlive the pool.
  /// @param seed For the jitter that spreads the dials of different daemons.
  LinkPool(const LeafConnector& connector, std::uint64_t seed);

  /// @name Limits
  /// @{
  void grant(LinkGrant grant);
  [[nodiscard]] const LinkGrant& granted() const noexcept {
    return this->current_grant;
  }
  /// While closed, idle links are not kept and no link is opened ahead of
  /// calls.
  void set_closed(bool closed) noexcept;
  /// @}

  /// @name State
  /// @{
  [[nodiscard]] bool has_idle() const noexcept { return !this->idle.empty(); }
  /// The number of links that are idle, in use or being opened.
  [[nodiscard]] std::size_t open() const noexcept { return this->open_links; }
  /// Whether an idle link is available or another one may be opened.
  [[nodiscard]] bool has_room(TimePoint now) const noexcept {
    return this->has_idle() ||
           (this->open_links < this->current_grant.max_links &&
            !this->is_at_connection_limit(now));
  }
  /// Whether the leaf is assumed to be at its connection limit.
  [[nodiscard]] bool is_at_connection_limit(TimePoint now) const noexcept {
    return now < this->no_dial_before;
  }
  /// Whether a link should be opened ahead of calls: the grant says so and no
  /// link is open. Drops idle links that the leaf has closed.
  [[nodiscard]] bool needs_link(TimePoint now);
  /// @}

  /// @name Links
  /// @{
  /// Takes an idle link out of the pool, if there is one.
  [[nodiscard]] std::optional<Acquired> take_idle();
  /// Opens a new link. The pool must outlive the task. The execution of an
  /// error is always kNotRun.
  [[nodiscard]] Task<Result<Acquired>> dial(const directory::LeafEntry& entry,
                                            TimePoint deadline);
  /// Returns an acquired link to the pool, which keeps or closes it.
  /// @param used The link has carried a call.
  void give_back(std::unique_ptr<LeafLink> link, bool used);
  /// @}

  /// @name Call results
  /// @{
  /// Records that a new connection was reset: a leaf at its connection limit
  /// resets further connections right after accepting them. If all daemons
  /// dialled again immediately, the leaf would do nothing else, so that
  /// dialling pauses with exponential backoff and jitter.
  /// @return How long no link is dialled.
  Duration note_connection_limit(TimePoint now);
  /// Records an answer of the leaf, which resets the backoff.
  void note_answer() noexcept { this->backoff = Duration::zero(); }
  /// @}

 private:
  struct IdleLink {
    std::unique_ptr<LeafLink> link;
    bool used = false;  ///< It has carried a call.
  };

  void close_idle() noexcept;

  const LeafConnector& connector;
  LinkGrant current_grant;
  bool closed = false;
  std::size_t open_links = 0;
  std::vector<IdleLink> idle;
  ReopenPause reopen;

  // Backoff while the leaf resets new connections.
  TimePoint no_dial_before = TimePoint::min();
  Duration backoff{0};
  pcg32 random;
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_LINK_POOL_H_
