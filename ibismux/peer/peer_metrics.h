#ifndef IBISMUX_PEER_PEER_METRICS_H_
#define IBISMUX_PEER_PEER_METRICS_H_

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace prometheus {
class Counter;
class Gauge;
class Registry;
}  // namespace prometheus

namespace ibismux::peer {

/// Whether frames of `kind` carry control (membership, releases) rather than
/// queries and reservations; 0, the kind of hellos, does. Thread safe.
[[nodiscard]] bool is_control(std::uint8_t kind) noexcept;

/// Counts of the traffic with peers. Thread safe.
class PeerMetrics {
 public:
  /// Precondition: `registry` outlives this.
  explicit PeerMetrics(prometheus::Registry& registry);

  void sent(std::uint8_t kind, std::size_t bytes) noexcept;
  void received(std::uint8_t kind, std::size_t bytes) noexcept;
  void connection_opened() noexcept;
  void connection_closed() noexcept;
  void connection_lost() noexcept;
  void handshake_refused() noexcept;
  void queue_full() noexcept;
  void frame_rejected() noexcept;

  [[nodiscard]] std::size_t open_connections() const noexcept {
    return this->open.load();
  }
  /// Bytes of control frames in both directions, headers included, since the
  /// start.
  [[nodiscard]] std::uint64_t control_bytes() const noexcept {
    return this->control.load(std::memory_order_relaxed);
  }

 private:
  struct Direction {
    prometheus::Counter* control_bytes;
    prometheus::Counter* data_bytes;
    prometheus::Counter* frames;
  };
  void count(const Direction& direction,
             std::uint8_t kind,
             std::size_t bytes) noexcept;

  Direction out;
  Direction in;
  prometheus::Gauge* connections;
  prometheus::Counter* lost;
  prometheus::Counter* refused;
  prometheus::Counter* full;
  prometheus::Counter* rejected;
  std::atomic<std::uint64_t> control{0};
  std::atomic<std::size_t> open{0};
};

}  // namespace ibismux::peer

#endif  // IBISMUX_PEER_PEER_METRICS_H_
