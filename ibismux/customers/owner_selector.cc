#include "ibismux/customers/owner_selector.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "ibismux/base/text_hash.h"
#include "ibismux/customers/rate_parts.h"

namespace ibismux::customers {

namespace {

// Above this number of customers, the cache of owners starts again.
constexpr std::size_t kMaxCached = 20'000;

}  // namespace

bool OwnerSelector::on_members(const std::vector<Candidate>& fresh,
                               std::size_t fleet_size,
                               TimePoint now) {
  this->started = std::min(this->started, now);
  std::size_t present = 0;
  for (const Candidate& candidate : fresh) {
    if (candidate.leaving) {
      this->members.erase(candidate.name);
    } else {
      this->members[candidate.name] = {candidate.zone, now};
      ++present;
    }
  }
  std::erase_if(this->members, [now](const auto& row) {
    return now - row.second.seen_at > kRetention;
  });
  const std::size_t size = std::max(present, fleet_size);
  if (size >= this->largest || now - this->largest_at > kSizeRetention) {
    this->largest = size;
    this->largest_at = now;
  }
  Electorate electorate;
  for (const auto& [name, member] : this->members) {
    electorate.zones.emplace(name, member.zone);
  }
  electorate.has_majority = present * 2 > this->largest;
  electorate.since = now;
  const Electorate& before = this->electorates.back();
  if (before.zones == electorate.zones &&
      before.has_majority == electorate.has_majority) {
    return false;
  }
  this->electorates.push_back(std::move(electorate));
  while (this->electorates.size() > kMaxHistory ||
         (this->electorates.size() > 1 &&
          now - this->electorates[1].since > kHistory)) {
    this->electorates.pop_front();
  }
  this->cache.clear();
  return true;
}

const std::vector<std::string>& OwnerSelector::owners(
    const std::string& customer) {
  const auto cached = this->cache.find(customer);
  if (cached != this->cache.end()) {
    return cached->second;
  }
  if (this->cache.size() >= kMaxCached) {
    this->cache.clear();
  }
  return this->cache[customer] = this->electorates.back().owners(customer);
}

std::vector<std::string> OwnerSelector::Electorate::owners(
    const std::string& customer) const {
  if (!this->has_majority) {
    return {};
  }
  struct Ranked {
    std::size_t place_in_zone;
    std::uint64_t hash;
    const std::string* name;
  };
  std::vector<Ranked> ranked;
  ranked.reserve(this->zones.size());
  const std::uint64_t salt = text_hash(customer);
  for (const auto& [name, zone] : this->zones) {
    ranked.push_back({0, text_hash(name, salt), &name});
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const Ranked& a, const Ranked& b) { return a.hash > b.hash; });
  std::map<std::string, std::size_t> in_zone;
  for (Ranked& candidate : ranked) {
    candidate.place_in_zone =
        in_zone[this->zones.find(*candidate.name)->second]++;
  }
  const std::size_t count = std::min(kOwners, ranked.size());
  std::stable_sort(ranked.begin(), ranked.end(),
                   [](const Ranked& a, const Ranked& b) {
                     return a.place_in_zone < b.place_in_zone;
                   });
  std::vector<std::string> selected;
  for (std::size_t i = 0; i < count; ++i) {
    selected.push_back(*ranked[i].name);
  }
  return selected;
}

bool OwnerSelector::is_owner(const std::string& member,
                             const std::string& customer) {
  const std::vector<std::string>& all = this->owners(customer);
  return std::find(all.begin(), all.end(), member) != all.end();
}

TimePoint OwnerSelector::owner_since(const std::string& member,
                                     const std::string& customer) const {
  TimePoint since = this->electorates.back().since;
  for (auto older = std::next(this->electorates.rbegin());
       older != this->electorates.rend(); ++older) {
    const std::vector<std::string> owners = older->owners(customer);
    if (std::find(owners.begin(), owners.end(), member) == owners.end()) {
      break;
    }
    since = older->since;
  }
  return since;
}

bool OwnerSelector::is_settled(TimePoint now) const {
  return this->largest <= 1 || now - this->started >= kRetention;
}

std::string OwnerSelector::zone_of(const std::string& member) const {
  const auto found = this->members.find(member);
  return found == this->members.end() ? std::string() : found->second.zone;
}

}  // namespace ibismux::customers
