#ifndef IBISMUX_DISPATCH_LEAF_H_
#define IBISMUX_DISPATCH_LEAF_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "ibismux/base/task.h"
#include "ibismux/base/time.h"
#include "ibismux/directory/leaf_entry.h"
#include "ibismux/dispatch/call_window.h"
#include "ibismux/dispatch/cold_limit.h"
#include "ibismux/dispatch/dispatch_policy.h"
#include "ibismux/dispatch/leaf_estimate.h"
#include "ibismux/dispatch/leaf_link.h"
#include "ibismux/dispatch/link_pool.h"
#include "ibismux/eventlog/forward.h"
#include "ibismux/http/socket.h"
#include "ibismux/quarantine/forward.h"

namespace ibismux::dispatch {

/// One call in flight at a leaf, shared with the code that may cancel it.
struct ActiveCall {
  LeafLink* link = nullptr;  ///< Set while the link carries the call.
  /// When the call was sent; absent while its link is being dialled.
  std::optional<TimePoint> sent_at;
  bool cancelled = false;

  /// Cancels the call immediately by closing its link; the leaf then drops the
  /// work.
  void cancel() noexcept {
    this->cancelled = true;
    if (this->link) {
      this->link->close();
    }
  }
};

/// How a call ended.
struct CallEnd {
  Result<LeafReply> reply;
  bool sent = false;  ///< The leaf may have received part of the request.
  /// The leaf's process ended while the call was in flight.
  bool leaf_ended = false;
};

/// One leaf as seen by this daemon: its links, its health and its calls in
/// flight.
///
/// Belongs to one event loop; not thread safe. Held by shared pointers because
/// calls in flight may outlive the leaf's entry.
class Leaf : public std::enable_shared_from_this<Leaf> {
 public:
  /// A call to be started at the leaf.
  struct CallSpec {
    std::shared_ptr<const LeafCall> call;
    std::shared_ptr<ActiveCall> active;
    Duration typical_latency;  ///< Latency of such a call at the median leaf.
    Duration unloaded;         ///< The same without queueing at the leafs.
    /// Called at most once, if the leaf is found unresponsive while the call
    /// waits for its answer.
    std::function<void()> on_unresponsive;
    /// Decides whether to check if the leaf's process has ended after the call
    /// was lost; if null, there is no such check.
    std::shared_ptr<const quarantine::CrashWatch> crashes;
    std::function<void(CallEnd)> on_end;
  };

  /// @param on_free Called when the leaf may have capacity again: a call ended,
  /// a link was opened ahead, the cold limit allows the next call, or an
  /// ejection ended.
  /// @param loop, connector, log, policy Must outlive the leaf and its calls.
  Leaf(boost::asio::io_context& loop,
       const LeafConnector& connector,
       eventlog::EventLog& log,
       const DispatchPolicy& policy,
       directory::LeafEntry entry,
       std::function<void()> on_free);

  [[nodiscard]] const directory::LeafEntry& entry() const noexcept {
    return this->current_entry;
  }
  void update(const directory::LeafEntry& entry);

  /// Takes the leaf out of service for good, because it has left or another
  /// leaf has its address. No further call may start; calls in flight continue.
  void retire();

  /// Retires the leaf because its run has ended, and ends its calls in flight
  /// as lost. Otherwise they would wait until their deadlines on connections to
  /// a process that no longer exists.
  void end_run();

  /// Sets whether the leaf's zone is evacuated. If so, no call may start and
  /// idle links are closed; calls in flight continue.
  void set_evacuated(bool evacuated);

  /// @name Availability
  /// @{

  /// Whether the leaf may get calls at all.
  [[nodiscard]] bool in_service() const noexcept {
    return !this->retired && !this->current_entry.draining && !this->ejected &&
           !this->evacuated;
  }
  [[nodiscard]] bool is_retired() const noexcept { return this->retired; }
  [[nodiscard]] bool is_evacuated() const noexcept { return this->evacuated; }
  [[nodiscard]] bool has_idle_link() const noexcept {
    return this->links.has_idle();
  }
  [[nodiscard]] bool has_room() const noexcept {
    const TimePoint now = Clock::now();
    return this->active_count < this->max_calls() &&
           this->links.has_room(now) && this->cold.allows(now);
  }
  /// Whether the leaf is cold and this daemon may not call it before it is
  /// warm.
  [[nodiscard]] bool is_closed_while_cold(TimePoint now) const noexcept {
    return this->cold.is_closed(now);
  }
  /// Calls `on_free` once the cold limit allows the next call. Does nothing if
  /// it allows one now.
  void notify_when_allowed();
  /// The maximum number of concurrent calls of this daemon; at least 1.
  [[nodiscard]] std::size_t max_calls() const noexcept {
    return this->policy.learn_window ? this->window.size()
                                     : this->links.granted().max_links;
  }
  [[nodiscard]] LeafEstimate& estimate() noexcept { return this->performance; }
  [[nodiscard]] const LeafEstimate& estimate() const noexcept {
    return this->performance;
  }
  /// Calls of this daemon that are in flight or wait for their link.
  [[nodiscard]] std::size_t active_calls() const noexcept {
    return this->active_count;
  }
  /// Time until an ejected leaf is probed again, or until a leaf that may not
  /// be called while it is cold is warm; zero if neither applies.
  [[nodiscard]] Duration until_retry(TimePoint now) const noexcept;
  /// @}

  /// Sets how many links this daemon may have to the leaf, and whether idle
  /// links stay open.
  void grant_links(LinkGrant grant);
  /// @param time How long the leaf is cold after it has started.
  /// @param share This daemon's share of the rate that the cold leaf tolerates.
  void set_warmup(Duration time, ColdShare share);
  /// Whether this daemon keeps idle links to the leaf. If not, the leaf is only
  /// a last resort.
  [[nodiscard]] bool keeps_links() const noexcept {
    return this->links.granted().keep;
  }

  /// Whether a link should be opened before a call needs it.
  [[nodiscard]] bool needs_link(TimePoint now) {
    return this->in_service() && this->links.needs_link(now);
  }
  /// Opens a link and adds it to the idle links. Ejects the leaf if it can't be
  /// dialled, so that no call has to detect that.
  [[nodiscard]] static Task<void> open_ahead(std::shared_ptr<Leaf> self);

  /// Starts a call. Precondition: `has_room()`.
  void start(CallSpec spec);

  /// Calls `on_unresponsive` of all calls in flight, so that a call that has
  /// waited too long causes the calls after it to be hedged as well.
  void report_unresponsive(TimePoint now);

 private:
  [[nodiscard]] static Task<void> run(std::shared_ptr<Leaf> self,
                                      CallSpec spec);
  [[nodiscard]] static Task<CallEnd> exchange(std::shared_ptr<Leaf> self,
                                              CallSpec& spec);
  /// Opens a new link. Ejects the leaf if it can't be dialled.
  [[nodiscard]] static Task<Result<LinkPool::Acquired>> dial(
      std::shared_ptr<Leaf> self,
      TimePoint deadline);
  [[nodiscard]] static Task<void> probe(std::shared_ptr<Leaf> self);
  /// Opens a link and adds it to the idle links.
  [[nodiscard]] static Task<Result<void>> open_idle(std::shared_ptr<Leaf> self,
                                                    Duration time);
  /// Checks after a lost connection whether the leaf's process has ended.
  [[nodiscard]] static Task<bool> process_has_ended(std::shared_ptr<Leaf> self);

  /// @param first_use No call went over the link before.
  void record_end(const CallEnd& end,
                  LeafEstimate::Ticket ticket,
                  const CallSpec& spec,
                  bool first_use,
                  TimePoint now);
  void record_loss(const Error& error,
                   LeafEstimate::Ticket ticket,
                   const CallSpec& spec,
                   TimePoint now);
  void record_connection_limit(TimePoint now);
  /// Ejects the leaf because no connection can be made. @param reason For the
  /// log.
  void mark_unreachable(std::string_view reason);
  void notify_free() { this->on_free(); }
  void eject(std::string_view reason);
  void reinstate();

  boost::asio::io_context& loop;
  eventlog::EventLog& log;
  const DispatchPolicy& policy;
  directory::LeafEntry current_entry;
  const std::function<void()> on_free;

  LinkPool links;
  std::size_t active_count = 0;
  LeafEstimate performance;
  CallWindow window;

  bool retired = false;
  bool run_ended = false;  ///< The leaf's entry names a later run.
  ColdLimit cold;
  Duration warmup{0};
  http::Timer cold_timer;  ///< For `notify_when_allowed()`.
  bool ejected = false;
  /// A connection attempt has failed since the leaf was last reinstated: its
  /// process may have been restarted.
  bool was_unreachable = false;
  bool evacuated = false;
  std::uint32_t consecutive_losses = 0;  ///< Calls without an answer.
  TimePoint retry_at = TimePoint::min();

  /// A call that was sent and has not been answered.
  struct InFlightCall {
    LeafLink* link = nullptr;
    std::function<void()> on_unresponsive;  ///< Empty once it was called.
  };
  std::map<std::uint64_t, InFlightCall> in_flight;  ///< By sequence number.
  std::uint64_t next_call_number = 0;
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_LEAF_H_
