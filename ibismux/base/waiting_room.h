#ifndef IBISMUX_BASE_WAITING_ROOM_H_
#define IBISMUX_BASE_WAITING_ROOM_H_

#include <cstddef>

namespace ibismux {

/// Bounds the requests that wait for something at the same time, and the bytes
/// that they hold.
///
/// Not thread safe.
class WaitingRoom {
 public:
  struct Limits {
    std::size_t requests = 64;
    std::size_t bytes = std::size_t{1} << 20;
  };

  explicit WaitingRoom(Limits limits) noexcept : limits(limits) {}

  /// Whether a request that holds `bytes` may wait as well.
  [[nodiscard]] bool has_room(std::size_t bytes) const noexcept {
    return this->requests < this->limits.requests &&
           this->bytes + bytes <= this->limits.bytes;
  }

  /// Precondition: `has_room(bytes)`.
  void enter(std::size_t bytes) noexcept {
    ++this->requests;
    this->bytes += bytes;
  }

  /// Precondition: a request has entered with the same `bytes` and not left.
  void leave(std::size_t bytes) noexcept {
    --this->requests;
    this->bytes -= bytes;
  }

 private:
  const Limits limits;
  std::size_t requests = 0;
  std::size_t bytes = 0;
};

}  // namespace ibismux

#endif  // IBISMUX_BASE_WAITING_ROOM_H_
