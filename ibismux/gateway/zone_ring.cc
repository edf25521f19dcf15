#include "ibismux/gateway/zone_ring.h"

#include <algorithm>
#include <utility>

namespace ibismux::gateway {

ZoneRing::ZoneRing(std::vector<Seat> unsorted) : seats(std::move(unsorted)) {
  std::sort(this->seats.begin(), this->seats.end(),
            [](const Seat& a, const Seat& b) {
              return std::pair(a.position, a.member) <
                     std::pair(b.position, b.member);
            });
}

ZoneRing::Walk::Walk(const ZoneRing& ring, std::uint64_t position) noexcept
    : ring(&ring), origin(position) {
  const auto& seats = ring.seats;
  const auto above =
      std::lower_bound(seats.begin(), seats.end(), position,
                       [](const Seat& seat, std::uint64_t value) {
                         return seat.position < value;
                       });
  const auto count = static_cast<std::uint32_t>(seats.size());
  const auto index = static_cast<std::uint32_t>(above - seats.begin());
  this->up = count == 0 ? 0 : index % count;
  this->down = count == 0 ? 0 : (index + count - 1) % count;
}

std::uint32_t ZoneRing::Walk::seat() const noexcept {
  return this->up_is_nearer() ? this->up : this->down;
}

std::uint64_t ZoneRing::Walk::distance() const noexcept {
  return std::min(this->distance_up(), this->distance_down());
}

void ZoneRing::Walk::advance() noexcept {
  const auto count = static_cast<std::uint32_t>(this->ring->seats.size());
  if (this->up_is_nearer()) {
    this->up = (this->up + 1) % count;
  } else {
    this->down = (this->down + count - 1) % count;
  }
  ++this->visited;
}

// Unsigned arithmetic wraps where the circle closes.
std::uint64_t ZoneRing::Walk::distance_up() const noexcept {
  return this->ring->seats[this->up].position - this->origin;
}

std::uint64_t ZoneRing::Walk::distance_down() const noexcept {
  return this->origin - this->ring->seats[this->down].position;
}

}  // namespace ibismux::gateway
