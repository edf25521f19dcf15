#include "ibismux/gateway/bounded_matching.h"

#include <algorithm>
#include <map>
#include <pcg_random.hpp>

#include "ibismux/gateway/zone_ring.h"

#include <criterion/criterion.h>

namespace ibismux::gateway {
namespace {

constexpr std::uint64_t kSeed = 11;

std::vector<ZoneRing::Seat> seats_of(std::uint32_t count) {
  pcg64 random(kSeed);
  std::vector<ZoneRing::Seat> seats;
  for (std::uint32_t i = 0; i < count; ++i) {
    seats.push_back({random(), i});
  }
  return seats;
}

std::vector<std::uint64_t> positions_of(std::size_t count) {
  std::vector<std::uint64_t> positions;
  for (std::size_t i = 0; i < count; ++i) {
    positions.push_back(~0ULL / count * i);
  }
  return positions;
}

/// The member of each leaf.
std::vector<std::uint32_t> match(std::vector<ZoneRing::Seat> seats,
                                 const std::vector<std::uint64_t>& positions) {
  const std::size_t count = seats.size();
  const ZoneRing ring(std::move(seats));
  std::vector<std::uint32_t> members;
  for (const std::uint32_t seat :
       match_bounded(ring, positions, leaf_capacity(positions.size(), count))) {
    members.push_back(ring.member(seat));
  }
  return members;
}

std::size_t most_of(const std::vector<std::uint32_t>& members) {
  std::map<std::uint32_t, std::size_t> loads;
  std::size_t most = 0;
  for (const std::uint32_t member : members) {
    most = std::max(most, ++loads[member]);
  }
  return most;
}

}  // namespace

Test(bounded_matching, capacity_is_a_quarter_above_the_mean) {
  cr_assert(leaf_capacity(18000, 2400) == 9);
  cr_assert(leaf_capacity(100, 8) == 15);
  cr_assert(leaf_capacity(7, 2) == 4);
  cr_assert(leaf_capacity(1, 7) == 1);
}

Test(bounded_matching, nobody_takes_more_than_the_capacity) {
  for (const std::uint32_t members : {1U, 2U, 7U, 150U}) {
    for (const std::size_t leafs : {1U, 75U, 1125U}) {
      const auto matched = match(seats_of(members), positions_of(leafs));
      cr_assert(matched.size() == leafs);
      cr_assert(most_of(matched) <= leaf_capacity(leafs, members));
    }
  }
}

Test(bounded_matching, result_does_not_depend_on_the_order) {
  auto seats = seats_of(40);
  const auto positions = positions_of(300);
  const auto expected = match(seats, positions);
  std::reverse(seats.begin(), seats.end());
  cr_assert(match(seats, positions) == expected);
}

// Failure: queries slow down all over when one daemon restarts.
Test(bounded_matching, going_of_one_member_moves_few_leafs) {
  constexpr std::uint32_t kMembers = 150;
  const auto seats = seats_of(kMembers);
  const auto positions = positions_of(1125);
  const auto before = match(seats, positions);
  std::size_t moved = 0;
  for (std::uint32_t gone = 0; gone < kMembers; ++gone) {
    auto rest = seats;
    rest.erase(rest.begin() + gone);
    const auto after = match(rest, positions);
    for (std::size_t i = 0; i < after.size(); ++i) {
      moved += after[i] != before[i] ? 1 : 0;
    }
  }
  // Of the mean share of one member, averaged over all of them.
  cr_assert(static_cast<double>(moved) / kMembers <= 2.5 * 7.5);
}

}  // namespace ibismux::gateway
