#include "ibismux/reservation/bucket_owner.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "ibismux/membership/membership_view.h"

namespace ibismux::reservation {

std::vector<std::string> bucket_owners(const membership::MembershipView& view,
                                       std::uint32_t bucket,
                                       std::size_t most) {
  std::vector<std::pair<std::uint64_t, const std::string*>> scores;
  for (const membership::Member& member : view.members) {
    if (member.serves()) {
      scores.emplace_back(
          XXH3_64bits_withSeed(member.name.data(), member.name.size(), bucket),
          &member.name);
    }
  }
  const std::size_t count = std::min(most, scores.size());
  std::partial_sort(
      scores.begin(), scores.begin() + static_cast<std::ptrdiff_t>(count),
      scores.end(), [](const auto& a, const auto& b) {
        return a.first != b.first ? a.first > b.first : *a.second < *b.second;
      });
  std::vector<std::string> owners;
  for (std::size_t i = 0; i < count; ++i) {
    owners.push_back(*scores[i].second);
  }
  return owners;
}

bool has_ended(const membership::MembershipView& view,
               const Incarnation& incarnation) {
  const auto found = std::ranges::find(view.members, incarnation.member,
                                       &membership::Member::name);
  return found == view.members.end() ||
         found->incarnation != incarnation.number ||
         found->state == membership::Member::State::kFailed;
}

}  // namespace ibismux::reservation
