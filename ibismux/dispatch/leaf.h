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

/// One call under way at a leaf, for whoever may want to give it up.
struct ActiveCall {
  LeafLink* link = nullptr;  ///< Set while the call is on the link.
  /// When it left on an open link; absent while one is being dialled.
  std::optional<TimePoint> sent_at;
  bool given_up = false;

  /// Ends the call at once: its link is closed, and the leaf drops the work.
  void give_up() noexcept {
    this->given_up = true;
    if (this->link) {
      this->link->close();
    }
  }
};

/// How a call ended.
struct CallEnd {
  Result<LeafReply> reply;
  bool sent = false;  ///< A byte of the request may have reached the leaf.
  /// The leaf's process has ended with the call under way.
  bool leaf_ended = false;
};

/// One leaf as this daemon sees it: its links, its health, what is under way.
///
/// Belongs to one event loop; not thread safe. Held by shared pointers: calls
/// under way outlive the leaf's entry.
class Leaf : public std::enable_shared_from_this<Leaf> {
 public:
  /// What one call needs besides the leaf.
  struct Order {
    std::shared_ptr<const LeafCall> call;
    std::shared_ptr<ActiveCall> active;
    Duration usual;     ///< What such a call takes at the median leaf.
    Duration unloaded;  ///< The same while leafs have no queues.
    /// The leaf was found unresponsive while the call waits. Called at most
    /// once.
    std::function<void()> on_unresponsive;
    /// Tells whether a lost call should find out if the leaf has ended; null:
    /// no.
    std::shared_ptr<const quarantine::CrashWatch> crashes;
    std::function<void(CallEnd)> on_end;
  };

  /// @param on_free Called when a link became free or the leaf came back.
  /// @param loop, connector, log, policy Outlive the leaf and its calls.
  Leaf(boost::asio::io_context& loop,
       const LeafConnector& connector,
       eventlog::EventLog& log,
       const DispatchPolicy& policy,
       directory::LeafEntry entry,
       std::function<void()> on_free);

  [[nodiscard]] const directory::LeafEntry& entry() const noexcept {
    return this->known;
  }
  void update(const directory::LeafEntry& entry);

  /// The leaf has left, or its address belongs to another one. No call begins
  /// here any more; those under way go on.
  void retire();

  /// The run of the leaf has ended: retires it, and ends its calls under way as
  /// lost. They would wait for their deadlines otherwise, on connections of
  /// which no process knows any more.
  void end_run();

  /// Whether the leaf's zone is evacuated: no call begins here then, and no
  /// link stays open; calls under way go on.
  void set_evacuated(bool out);

  /// @name Whether and how well it can take a call
  /// @{

  /// May be given calls at all.
  [[nodiscard]] bool in_service() const noexcept {
    return !this->retired && !this->known.draining && !this->ejected &&
           !this->evacuated;
  }
  [[nodiscard]] bool is_retired() const noexcept { return this->retired; }
  [[nodiscard]] bool is_evacuated() const noexcept { return this->evacuated; }
  [[nodiscard]] bool has_idle_link() const noexcept {
    return this->links.has_idle();
  }
  [[nodiscard]] bool has_room() const noexcept {
    const TimePoint now = Clock::now();
    return this->orders < this->most_calls() && this->links.has_room(now) &&
           this->cold.allows(now);
  }
  /// Is cold, and gets no call of this daemon before it is warm.
  [[nodiscard]] bool is_closed_while_cold(TimePoint now) const noexcept {
    return this->cold.is_closed(now);
  }
  /// Tells that the leaf is free, as if a call had ended, once its limit while
  /// it is cold lets the next call start. Nothing happens where it does now.
  void announce_when_warmer();
  /// How many calls this daemon lets the leaf have at once, at least 1.
  [[nodiscard]] std::size_t most_calls() const noexcept {
    return this->policy.learn_window ? this->window.size()
                                     : this->links.granted().most;
  }
  [[nodiscard]] LeafEstimate& estimate() noexcept { return this->numbers; }
  [[nodiscard]] const LeafEstimate& estimate() const noexcept {
    return this->numbers;
  }
  /// Calls that are under way or wait for their link.
  [[nodiscard]] std::size_t busy() const noexcept { return this->orders; }
  /// How long until an ejected leaf is tried again, or one that is closed while
  /// it is cold is warm; zero where neither is so.
  [[nodiscard]] Duration until_retry(TimePoint now) const noexcept;
  /// @}

  /// How many links this daemon may have to the leaf, and whether idle ones
  /// stay open.
  void grant_links(LinkGrant grant);
  /// How long the leaf is cold when it starts, and this daemon's share of what
  /// it bears until it is warm.
  void set_warmup(Duration time, ColdShare share);
  /// Whether this daemon keeps links here; elsewhere the leaf is a last resort.
  [[nodiscard]] bool keeps_links() const noexcept {
    return this->links.granted().keep;
  }

  /// Whether a link should be opened before a call needs it.
  [[nodiscard]] bool wants_link(TimePoint now) {
    return this->in_service() && this->links.wants_link(now);
  }
  /// Opens one, and keeps it. A leaf that can't be dialled is ejected: no call
  /// has to find that out.
  [[nodiscard]] static Task<void> open_ahead(std::shared_ptr<Leaf> self);

  /// Begins a call. Precondition: `has_room()`.
  void start(Order order);

  /// Calls wait here without any answer: tells all of them, so that one call
  /// that waits too long has those that came after it hedged as well.
  void report_unresponsive(TimePoint now);

 private:
  [[nodiscard]] static Task<void> run(std::shared_ptr<Leaf> self, Order order);
  [[nodiscard]] static Task<CallEnd> exchange(std::shared_ptr<Leaf> self,
                                              Order& order);
  /// A new link; a leaf that can't be dialled is ejected.
  [[nodiscard]] static Task<Result<LinkPool::Acquired>> dial(
      std::shared_ptr<Leaf> self,
      TimePoint deadline);
  [[nodiscard]] static Task<void> probe(std::shared_ptr<Leaf> self);
  /// Opens a link, and keeps it.
  [[nodiscard]] static Task<Result<void>> open_idle(std::shared_ptr<Leaf> self,
                                                    Duration time);
  /// After a connection was lost: whether the leaf's process has ended.
  [[nodiscard]] static Task<bool> has_ended(std::shared_ptr<Leaf> self);

  /// @param first_use The link was opened for this call.
  void judge(const CallEnd& end,
             LeafEstimate::Ticket ticket,
             const Order& order,
             bool first_use,
             TimePoint now);
  void judge_loss(const Error& error,
                  LeafEstimate::Ticket ticket,
                  const Order& order,
                  TimePoint now);
  void note_connection_limit(TimePoint now);
  /// No connection can be made. @param reason For the log.
  void note_down(std::string_view reason);
  void tell_free() { this->on_free(); }
  void eject(std::string_view reason);
  void come_back();

  boost::asio::io_context& loop;
  eventlog::EventLog& log;
  const DispatchPolicy& policy;
  directory::LeafEntry known;
  const std::function<void()> on_free;

  LinkPool links;
  std::size_t orders = 0;
  LeafEstimate numbers;
  CallWindow window;

  bool retired = false;
  bool run_ended = false;  ///< Its entry names a later run.
  ColdLimit cold;
  Duration warmup{0};
  http::Timer warmer;  ///< For `announce_when_warmer()`.
  bool ejected = false;
  /// No connection could be made since the leaf was ejected: its process may
  /// have started again.
  bool was_down = false;
  bool evacuated = false;
  std::uint32_t losses = 0;  ///< Calls and dials in a row without any answer.
  TimePoint retry_at = TimePoint::min();

  /// A call that was sent and not answered yet.
  struct Pending {
    LeafLink* link = nullptr;
    std::function<void()> on_unresponsive;  ///< Empty once it was called.
  };
  std::map<std::uint64_t, Pending> pending;  ///< By a number of their own.
  std::uint64_t next_pending = 0;
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_LEAF_H_
