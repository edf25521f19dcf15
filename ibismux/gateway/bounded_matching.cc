#include "ibismux/gateway/bounded_matching.h"

#include <algorithm>
#include <utility>

namespace ibismux::gateway {

namespace {

constexpr double kMostOverMean = 1.25;

/// What a seat has accepted: distance and leaf, the farthest on top.
using Accepted = std::vector<std::pair<std::uint64_t, std::uint32_t>>;

}  // namespace

std::size_t leaf_capacity(std::size_t leafs, std::size_t members) noexcept {
  const std::size_t mean_up = (leafs + members - 1) / members;
  const auto bound =
      static_cast<std::size_t>(kMostOverMean * static_cast<double>(leafs) /
                               static_cast<double>(members));
  return std::max<std::size_t>({mean_up, bound, 1});
}

std::vector<std::uint32_t> match_bounded(
    const ZoneRing& ring,
    const std::vector<std::uint64_t>& positions,
    std::size_t capacity) {
  std::vector<Accepted> seats(ring.size());
  std::vector<ZoneRing::Walk> walks;
  std::vector<std::uint32_t> free;
  walks.reserve(positions.size());
  for (std::uint32_t leaf = 0; leaf < positions.size(); ++leaf) {
    walks.emplace_back(ring, positions[leaf]);
    free.push_back(leaf);
  }
  while (!free.empty()) {
    const std::uint32_t leaf = free.back();
    free.pop_back();
    ZoneRing::Walk& walk = walks[leaf];
    Accepted& seat = seats[walk.seat()];
    const std::pair offer(walk.distance(), leaf);
    walk.advance();
    if (seat.size() == capacity && offer > seat.front()) {
      free.push_back(leaf);
      continue;
    }
    if (seat.size() == capacity) {
      free.push_back(seat.front().second);
      std::pop_heap(seat.begin(), seat.end());
      seat.pop_back();
    }
    seat.push_back(offer);
    std::push_heap(seat.begin(), seat.end());
  }
  std::vector<std::uint32_t> matched(positions.size());
  for (std::uint32_t seat = 0; seat < seats.size(); ++seat) {
    for (const auto& [distance, leaf] : seats[seat]) {
      matched[leaf] = seat;
    }
  }
  return matched;
}

}  // namespace ibismux::gateway
