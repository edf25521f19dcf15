#include "ibismux/customers/owner_selector.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace ibismux::customers {

namespace {

// Above this number of customers, the cache of owners starts again.
constexpr std::size_t kMaxCached = 20'000;

}  // namespace

void OwnerSelector::note(const Candidate& candidate,
                         TimePoint now,
                         Change& change) {
  const auto known = this->members.find(candidate.name);
  const bool is_same = known != this->members.end() &&
                       known->second.member->zone == candidate.zone;
  if (known != this->members.end() && (candidate.leaving || !is_same)) {
    change.removed.push_back(std::move(known->second.member));
    this->members.erase(known);
  } else if (is_same) {
    known->second.seen_at = now;
  }
  if (!candidate.leaving && !is_same) {
    auto member = std::make_shared<const OwnerCandidate>(candidate);
    change.added.push_back(member);
    this->members[candidate.name] = {std::move(member), now};
  }
}

bool OwnerSelector::on_members(const std::vector<Candidate>& fresh,
                               std::size_t fleet_size,
                               TimePoint now) {
  this->started = std::min(this->started, now);
  Change change;
  std::size_t present = 0;
  for (const Candidate& candidate : fresh) {
    this->note(candidate, now, change);
    present += candidate.leaving ? 0 : 1;
  }
  std::erase_if(this->members, [&](const auto& row) {
    const bool expired = now - row.second.seen_at > kRetention;
    if (expired) {
      change.removed.push_back(row.second.member);
    }
    return expired;
  });
  const std::size_t size = std::max(present, fleet_size);
  if (size >= this->largest || now - this->largest_at > kSizeRetention) {
    this->largest = size;
    this->largest_at = now;
  }
  change.has_majority = present * 2 > this->largest;
  change.at = now;
  if (change.added.empty() && change.removed.empty() &&
      change.has_majority == this->has_majority()) {
    return false;
  }
  this->changes.push_back(std::move(change));
  while (this->changes.size() > kMaxHistory ||
         (this->changes.size() > 1 && now - this->changes[1].at > kHistory)) {
    this->changes.pop_front();
  }
  this->cache.clear();
  return true;
}

std::vector<OwnerSelector::Member> OwnerSelector::members_in_history() const {
  std::vector<Member> all;
  all.reserve(this->members.size());
  for (const auto& [name, sighting] : this->members) {
    all.push_back(sighting.member);
  }
  for (const Change& change : this->changes) {
    all.insert(all.end(), change.removed.begin(), change.removed.end());
  }
  return all;
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
  std::vector<std::string>& owners = this->cache[customer];
  if (this->has_majority()) {
    std::vector<Member> present;
    present.reserve(this->members.size());
    for (const auto& [name, sighting] : this->members) {
      present.push_back(sighting.member);
    }
    owners = OwnerRanking(customer, present).owners([](const auto&) {
      return true;
    });
  }
  return owners;
}

bool OwnerSelector::is_owner(const std::string& member,
                             const std::string& customer) {
  const std::vector<std::string>& all = this->owners(customer);
  return std::find(all.begin(), all.end(), member) != all.end();
}

TimePoint OwnerSelector::owner_since(const std::string& member,
                                     const std::string& customer) const {
  const std::vector<Member> all = this->members_in_history();
  OwnerRanking ranking(customer, all);
  // Members by whether they were present before the changes that have been
  // undone so far.
  std::set<const OwnerCandidate*> absent;
  for (const Change& change : this->changes) {
    for (const Member& removed : change.removed) {
      absent.insert(removed.get());
    }
  }
  const auto is_owner = [&] {
    const std::vector<std::string> owners =
        ranking.owners([&absent](const OwnerCandidate& candidate) {
          return !absent.contains(&candidate);
        });
    return std::find(owners.begin(), owners.end(), member) != owners.end();
  };
  TimePoint since = this->changes.back().at;
  for (auto change = this->changes.rbegin();
       std::next(change) != this->changes.rend(); ++change) {
    for (const Member& added : change->added) {
      absent.insert(added.get());
    }
    for (const Member& removed : change->removed) {
      absent.erase(removed.get());
    }
    const Change& older = *std::next(change);
    if (!older.has_majority || !is_owner()) {
      break;
    }
    since = older.at;
  }
  return since;
}

bool OwnerSelector::is_settled(TimePoint now) const {
  return this->largest <= 1 || now - this->started >= kRetention;
}

std::string OwnerSelector::zone_of(const std::string& member) const {
  const auto found = this->members.find(member);
  return found == this->members.end() ? std::string()
                                      : found->second.member->zone;
}

}  // namespace ibismux::customers
