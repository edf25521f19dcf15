#ifndef IBISMUX_PEER_PEER_CONNECTION_H_
#define IBISMUX_PEER_PEER_CONNECTION_H_

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "ibismux/base/ids.h"
#include "ibismux/base/task.h"
#include "ibismux/peer/frame.h"

namespace ibismux::peer {

class PeerMetrics;

/// One TCP connection to a peer, after its handshake.
///
/// Belongs to the event loop of its socket; only `queued()` is thread safe.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
 public:
  /// Who hears what arrives. Called on the connection's loop.
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void on_frame(std::shared_ptr<PeerConnection> connection,
                          FrameHeader header,
                          std::string payload) = 0;
    /// Once. `graceful`: the peer has acknowledged that it read all.
    virtual void on_closed(std::shared_ptr<PeerConnection> connection,
                           bool graceful,
                           std::string reason) = 0;
  };

  /// @param most_queued Bytes; a peer that lets more responses pile up is cut.
  PeerConnection(boost::asio::ip::tcp::socket socket,
                 Incarnation peer,
                 bool dialled,
                 std::size_t most_queued,
                 PeerMetrics& metrics);

  /// Starts reading. Once.
  void start(std::weak_ptr<Owner> owner);

  /// @name Sending
  /// @{

  /// Queues whole frames; all that is queued goes out in one write.
  void append(std::string_view frames);
  void append_response(FrameRole role,
                       std::uint8_t kind,
                       std::uint64_t correlation,
                       std::string_view payload);
  /// Says that this side starts nothing more here; to a peer that has said so
  /// too, also that all from it was read. The connection closes when both sides
  /// have told each other the latter. Precondition: no request of this side
  /// waits for its response on it.
  void say_goodbye();
  /// Cuts the connection; on_closed runs before this returns.
  void close(std::string reason);
  /// @}

  /// @name Requests of the peer that are being served
  /// @{
  void begin_serving() noexcept { ++this->serving; }
  void end_serving();
  /// @}

  [[nodiscard]] const Incarnation& peer() const noexcept { return this->who; }
  /// Whether this side opened it.
  [[nodiscard]] bool dialled() const noexcept { return this->by_us; }
  /// Whether new work may go out on it.
  [[nodiscard]] bool usable() const noexcept {
    return !this->closed && !this->goodbye_sent && !this->ack_sent &&
           !this->goodbye_received;
  }
  /// Whether the peer waits for this side's goodbye.
  [[nodiscard]] bool owes_goodbye() const noexcept {
    return !this->closed && this->goodbye_received && !this->ack_sent;
  }
  /// Bytes that wait to be written. Thread safe.
  [[nodiscard]] std::size_t queued() const noexcept {
    return this->waiting.load(std::memory_order_relaxed);
  }

 private:
  static Task<void> read(std::shared_ptr<PeerConnection> self);
  Task<std::string> read_frames();
  Task<std::string> read_rest(FrameHeader header);
  std::string deliver(FrameHeader header, std::string payload);
  void write();
  void finish_if_done();
  void shut(bool graceful, std::string reason);

  boost::asio::ip::tcp::socket socket;
  Incarnation who;
  bool by_us;
  std::size_t most_queued;
  PeerMetrics& metrics;
  std::weak_ptr<Owner> owner;

  std::vector<char> buffer;  // Received, not yet parsed: [begin, end).
  std::size_t begin = 0;
  std::size_t end = 0;

  std::string outbox;    // Waits for the write under way.
  std::string in_write;  // Empty: no write under way.
  std::atomic<std::size_t> waiting{0};

  std::size_t serving = 0;
  bool goodbye_sent = false;
  bool goodbye_received = false;
  bool ack_sent = false;
  bool ack_received = false;
  bool closed = false;
};

}  // namespace ibismux::peer

#endif  // IBISMUX_PEER_PEER_CONNECTION_H_
