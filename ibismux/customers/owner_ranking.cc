#include "ibismux/customers/owner_ranking.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <string_view>

#include "ibismux/base/text_hash.h"
#include "ibismux/customers/rate_parts.h"

namespace ibismux::customers {

OwnerRanking::OwnerRanking(const std::string& customer,
                           const std::vector<Member>& members) {
  this->unsorted.reserve(members.size());
  const std::uint64_t salt = text_hash(customer);
  for (const Member& member : members) {
    this->unsorted.push_back({text_hash(member->name, salt), member.get()});
  }
  std::set<std::string_view> zones;
  for (const Member& member : members) {
    zones.insert(member->zone);
  }
  this->zones = zones.size();
  std::make_heap(this->unsorted.begin(), this->unsorted.end());
}

const OwnerCandidate* OwnerRanking::at(std::size_t index) {
  while (this->sorted.size() <= index && !this->unsorted.empty()) {
    std::pop_heap(this->unsorted.begin(), this->unsorted.end());
    this->sorted.push_back(this->unsorted.back());
    this->unsorted.pop_back();
  }
  return index < this->sorted.size() ? this->sorted[index].member : nullptr;
}

std::vector<std::string> OwnerRanking::owners(
    const std::function<bool(const OwnerCandidate&)>& is_member) {
  // By place in their zone: the first ones of all zones come first.
  std::array<std::vector<const OwnerCandidate*>, kOwners> places;
  std::map<std::string_view, std::size_t> in_zone;
  std::size_t found = 0;
  const std::size_t firsts = std::min(kOwners, this->zones);
  for (std::size_t i = 0; places[0].size() < firsts || found < kOwners; ++i) {
    const OwnerCandidate* member = this->at(i);
    if (member == nullptr) {
      break;
    }
    if (!is_member(*member)) {
      continue;
    }
    const std::size_t place = in_zone[member->zone]++;
    if (place < kOwners) {
      places[place].push_back(member);
      ++found;
    }
  }
  std::vector<std::string> selected;
  for (const auto& place : places) {
    for (const OwnerCandidate* member : place) {
      if (selected.size() < kOwners) {
        selected.push_back(member->name);
      }
    }
  }
  return selected;
}

}  // namespace ibismux::customers
