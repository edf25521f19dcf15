#ifndef IBISMUX_PEER_PEER_LINK_H_
#define IBISMUX_PEER_PEER_LINK_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "ibismux/base/ids.h"
#include "ibismux/base/task.h"
#include "ibismux/peer/backoff.h"
#include "ibismux/peer/peer_connection.h"
#include "ibismux/peer/pending_request.h"

namespace ibismux::peer {

class PeerContext;

/// All that goes to and comes from one member: the queue, the connections, the
/// requests that wait.
///
/// Frames are queued by any thread under a short lock and written by the
/// link's own loop, together. A connection is opened when something is first
/// to be sent. When both sides dial at once both connections stay; both sides
/// then send on the one whose dialler has the lower name, and the other ends
/// with the next goodbye.
class PeerLink : public PeerConnection::Owner,
                 public std::enable_shared_from_this<PeerLink> {
 public:
  PeerLink(std::string member,
           boost::asio::io_context& loop,
           std::shared_ptr<PeerContext> context);

  /// @name Sending; thread safe
  /// @{
  bool notify(std::uint8_t kind, std::string_view payload);
  /// @return The correlation, to forget the request by; 0 if it was not queued.
  std::uint64_t request(std::uint8_t kind,
                        std::string_view payload,
                        std::shared_ptr<PendingRequest> pending);
  void forget(std::uint64_t correlation);
  /// @}

  /// @name Connections; on the link's loop
  /// @{
  void adopt(std::shared_ptr<PeerConnection> connection);
  /// Says goodbye on connections that have been idle.
  void close_if_idle(TimePoint now);
  /// Says goodbye on all connections.
  void say_goodbye();
  /// Cuts all connections and opens none any more.
  void stop();
  /// @}

  [[nodiscard]] boost::asio::io_context& executor() const noexcept {
    return this->loop;
  }
  /// No connection, none being opened, nothing waits. Thread safe.
  [[nodiscard]] bool unused() const;

  void on_frame(std::shared_ptr<PeerConnection> connection,
                FrameHeader header,
                std::string payload) override;
  void on_closed(std::shared_ptr<PeerConnection> connection,
                 bool graceful,
                 std::string reason) override;

 private:
  enum class Phase : unsigned char { kIdle, kDialing, kUp, kStopped };
  using PendingPointer = std::shared_ptr<PendingRequest>;

  // These need the mutex.
  bool enqueue(std::uint8_t kind,
               FrameRole role,
               std::uint64_t correlation,
               std::string_view payload);
  void start_dial();
  void schedule_flush();

  // These run on the loop, without the mutex.
  static Task<void> dial(std::shared_ptr<PeerLink> self);
  void dial_failed(const Error& error);
  void flush();
  void cut(const std::string& reason);
  void choose_connection();
  void return_goodbyes();
  void respond(std::uint64_t correlation, Result<std::string> outcome);
  void abandon(bool handed_only,
               const std::string& reason,
               Execution execution);
  static Task<void> serve(std::shared_ptr<PeerLink> self,
                          std::shared_ptr<PeerConnection> connection,
                          FrameHeader header,
                          std::string payload);

  const std::string member;
  boost::asio::io_context& loop;
  std::shared_ptr<PeerContext> context;

  // On the loop alone.
  std::vector<std::shared_ptr<PeerConnection>> connections;
  TimePoint last_used;

  mutable std::mutex mutex;
  Phase phase = Phase::kIdle;
  Backoff backoff;
  std::string outbox;
  std::size_t queued_notifies = 0;
  bool flush_scheduled = false;
  std::shared_ptr<PeerConnection> preferred;
  std::map<std::uint64_t, PendingPointer> pending;
  std::uint64_t last_correlation = 0;
  std::uint64_t handed = 0;  // Requests up to here went to a connection.
};

}  // namespace ibismux::peer

#endif  // IBISMUX_PEER_PEER_LINK_H_
