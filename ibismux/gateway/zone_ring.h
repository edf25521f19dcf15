#ifndef IBISMUX_GATEWAY_ZONE_RING_H_
#define IBISMUX_GATEWAY_ZONE_RING_H_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace ibismux::gateway {

/// The daemons of one availability zone on a circle of 2^64 positions.
///
/// Thread safe: it does not change.
class ZoneRing {
 public:
  struct Seat {
    std::uint64_t position = 0;
    std::uint32_t member = 0;  ///< Position in the membership view.
  };

  /// Walks the seats outward from a position, nearest first.
  class Walk {
   public:
    Walk(const ZoneRing& ring, std::uint64_t position) noexcept;

    /// All seats were visited.
    [[nodiscard]] bool done() const noexcept {
      return this->visited == this->ring->seats.size();
    }
    /// The nearest seat not visited yet, as its number on the ring, and how far
    /// it is. Precondition: not done.
    [[nodiscard]] std::uint32_t seat() const noexcept;
    [[nodiscard]] std::uint64_t distance() const noexcept;
    /// Visits it. Precondition: not done.
    void advance() noexcept;

   private:
    [[nodiscard]] std::uint64_t distance_up() const noexcept;
    [[nodiscard]] std::uint64_t distance_down() const noexcept;
    [[nodiscard]] bool up_is_nearer() const noexcept {
      return this->distance_up() <= this->distance_down();
    }

    const ZoneRing* ring;
    std::uint64_t origin;
    std::uint32_t up;    ///< Next seat at or above the origin.
    std::uint32_t down;  ///< Next seat below it.
    std::size_t visited = 0;
  };

  explicit ZoneRing(std::vector<Seat> seats);

  [[nodiscard]] std::size_t size() const noexcept { return this->seats.size(); }
  [[nodiscard]] std::uint32_t member(std::uint32_t seat) const noexcept {
    return this->seats[seat].member;
  }

 private:
  std::vector<Seat> seats;  ///< By position.
};

}  // namespace ibismux::gateway

#endif  // IBISMUX_GATEWAY_ZONE_RING_H_
