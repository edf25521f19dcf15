#ifndef IBISMUX_GATEWAY_LEAF_CHANNEL_H_
#define IBISMUX_GATEWAY_LEAF_CHANNEL_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "ibismux/backend/leaf_reply.h"
#include "ibismux/backend/leaf_request.h"
#include "ibismux/base/error.h"
#include "ibismux/base/task.h"
#include "ibismux/gateway/gateway_context.h"
#include "ibismux/gateway/leaf_capacity.h"
#include "ibismux/gateway/leaf_pool.h"
#include "ibismux/gateway/leaf_queue.h"
#include "ibismux/gateway/leaf_status.h"
#include "ibismux/gateway/running_calls.h"

namespace ibismux::gateway {

class LeafChannel;

/// Which leaf each call of one event loop waits for or runs on.
using CallIndex = std::unordered_map<CallId, LeafChannel*>;

/// One leaf: the queue before it, its limit, and the calls that it runs.
///
/// Belongs to one event loop; not thread safe.
class LeafChannel : public std::enable_shared_from_this<LeafChannel> {
 public:
  /// @param calls Kept in step with the calls that wait or run here.
  LeafChannel(boost::asio::io_context& loop,
              std::shared_ptr<GatewayContext> context,
              std::shared_ptr<CallIndex> calls);

  /// Takes up the declared leaf and this daemon's share of its connections.
  /// @param keep_warm Whether connections are held open with no call waiting.
  void configure(const release::BackendServer& leaf,
                 std::size_t share,
                 bool keep_warm);

  /// This daemon has no share any more: calls that wait are refused, those that
  /// run go on.
  void retire();

  /// Queues `call`, or answers it at once.
  void submit(QueuedCall call);

  /// The answer of `id` is no longer wanted. A query is answered at once, and
  /// the leaf is asked to stop it.
  void cancel(const CallId& id);

  /// To be called a few times a second: what no call or timer brings about.
  void tick(TimePoint now);

  /// Has no share, and nothing waits, runs or is open.
  [[nodiscard]] bool retired_and_finished() const noexcept;
  [[nodiscard]] LeafStatus status(TimePoint now) const;

 private:
  [[nodiscard]] std::optional<RefuseReason> closed_for(TimePoint now) const;
  void refuse(const QueuedCall& call, RefuseReason reason, TimePoint now);
  void refuse_all(RefuseReason reason, TimePoint now);
  void pump();
  void start(QueuedCall call, LeafPool::Connection connection, TimePoint now);
  Task<void> run(std::shared_ptr<LeafChannel> self,
                 LeafPool::Connection connection,
                 backend::LeafRequest request);
  void finish(const CallId& id, backend::LeafReply reply);
  void learn(const backend::LeafReply& reply,
             Duration leaf_time,
             TimePoint now);
  void answer(const CallId& id, RunningCall& call, Result<std::string> body);
  void stop(const CallId& id, RunningCall& call);
  void pass_deadlines(TimePoint now);
  void stop_overdue(TimePoint now);
  void arm_timer();
  void on_timer();
  void see_restart(TimePoint now);
  void report_limit();
  void update_wanted();

  boost::asio::io_context& loop;
  std::shared_ptr<GatewayContext> context;
  std::shared_ptr<CallIndex> calls;

  release::BackendServer leaf;
  bool keep_warm = false;
  bool retired = false;
  LeafQueue queue;
  LeafCapacity capacity;
  std::shared_ptr<LeafPool> pool;

  RunningCalls running;
  TimePoint last_demand{};
  double reported_limit = 0;  ///< What the metrics say now.
  boost::asio::steady_timer timer;
  std::optional<TimePoint> armed_for;
};

}  // namespace ibismux::gateway

#endif  // IBISMUX_GATEWAY_LEAF_CHANNEL_H_
