#include "ibismux/query/replica_choice.h"

#include "ibismux/query/leaf_stats.h"

namespace ibismux::query {

namespace {

constexpr unsigned kHighBitsShift = 32;

}  // namespace

std::uint32_t RandomReplica::choose(const PinnedSnapshot& /*pin*/,
                                    std::span<const std::uint32_t> candidates,
                                    std::uint64_t random,
                                    TimePoint /*now*/) const {
  return candidates[random % candidates.size()];
}

std::uint32_t CheaperOfTwo::choose(const PinnedSnapshot& pin,
                                   std::span<const std::uint32_t> candidates,
                                   std::uint64_t random,
                                   TimePoint now) const {
  const std::size_t count = candidates.size();
  const std::size_t first = (random >> kHighBitsShift) % count;
  if (count == 1) {
    return candidates[first];
  }
  const std::size_t step = 1 + (random & 0xffffffffU) % (count - 1);
  const std::size_t second = (first + step) % count;
  const double first_cost = (*pin.leafs)[candidates[first]]->cost(now);
  const double second_cost = (*pin.leafs)[candidates[second]]->cost(now);
  return candidates[second_cost < first_cost ? second : first];
}

}  // namespace ibismux::query
