#ifndef IBISMUX_GATEWAY_LEAF_POOL_H_
#define IBISMUX_GATEWAY_LEAF_POOL_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "ibismux/backend/leaf_connection.h"
#include "ibismux/base/ids.h"
#include "ibismux/base/task.h"
#include "ibismux/base/time.h"
#include "ibismux/gateway/gateway_context.h"
#include "ibismux/gateway/reconnect_pause.h"
#include "ibismux/release/backend_server.h"

namespace ibismux::gateway {

/// The connections of one daemon to one leaf: never more than its share.
///
/// One is kept for cancel calls, so that a cancel never waits for the call that
/// it is to stop; the rest carry calls. They are opened one after the other,
/// at the pace of `connect_cost`. Belongs to one event loop; not thread safe.
class LeafPool : public std::enable_shared_from_this<LeafPool> {
 public:
  using Connection = std::shared_ptr<backend::LeafConnection>;
  /// Something changed: a connection opened, or could not be opened.
  using Listener = std::function<void()>;

  LeafPool(boost::asio::io_context& loop,
           std::shared_ptr<GatewayContext> context);

  /// Where the leaf is and how many connections this daemon may hold. A new
  /// address closes the idle connections.
  void configure(const release::BackendServer& leaf, std::size_t share);

  void on_change(Listener listener) { this->listener = std::move(listener); }

  /// @name Calls
  /// @{

  /// How many connections for calls are worth having open now.
  void want(std::size_t calls);
  /// An idle connection, which is then the caller's; null where none is open.
  [[nodiscard]] Connection take();
  /// Takes back what `take` gave, and closes it where it is unusable or
  /// beyond the share.
  void give(Connection connection);
  /// Sends the leaf's cancel call for `id`, as soon as it can be sent.
  void cancel(const CallId& id);
  /// @}

  /// Closes idle connections beyond what is wanted.
  void trim();
  /// Closes all that carry no call and opens no more.
  void retire();

  /// Open or being opened, control included: what the share bounds.
  [[nodiscard]] std::size_t connections() const noexcept;
  [[nodiscard]] std::size_t share() const noexcept { return this->most; }
  [[nodiscard]] std::size_t idle() const noexcept {
    return this->waiting.size();
  }
  /// The last attempt to open failed, and nothing is open.
  [[nodiscard]] bool unreachable() const noexcept;
  /// What the leaf said of itself when a connection was opened last.
  [[nodiscard]] const backend::LeafHealth& health() const noexcept {
    return this->last_health;
  }
  /// The leaf closed the last connection, and none has been opened since.
  [[nodiscard]] bool lost_all() const noexcept { return this->all_lost; }
  /// A connection was opened after the leaf had closed the last one. Says so
  /// once.
  [[nodiscard]] bool take_reopened() noexcept;

 private:
  [[nodiscard]] std::size_t most_calls() const noexcept;
  [[nodiscard]] bool wants_control() const noexcept;
  [[nodiscard]] bool may_open() const noexcept;
  void drop_unusable();
  void report();
  void note_loss() noexcept;
  void start_opening();
  Task<void> open_all(std::shared_ptr<LeafPool> self);
  Task<bool> open_one(bool for_control);
  Task<void> pause(Duration duration);
  Task<void> send_cancels(std::shared_ptr<LeafPool> self);

  boost::asio::io_context& loop;
  std::shared_ptr<GatewayContext> context;
  boost::asio::steady_timer timer;
  Listener listener;

  release::BackendServer leaf;
  std::size_t most = 0;
  std::size_t wanted = 0;
  bool retired = false;

  std::vector<Connection> waiting;
  std::size_t taken = 0;
  std::size_t opening = 0;
  Connection control;
  bool control_busy = false;
  bool opener_runs = false;
  bool last_failed = false;
  bool all_lost = false;
  bool reopened = false;
  ReconnectPause reconnect;
  Duration next_pause{};
  std::deque<CallId> cancels;
  backend::LeafHealth last_health;
  std::size_t reported_calls = 0;  ///< What the metrics say now.
  std::size_t reported_controls = 0;
};

}  // namespace ibismux::gateway

#endif  // IBISMUX_GATEWAY_LEAF_POOL_H_
