#include "ibismux/membership/spread_tree.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "ibismux/membership/member_record.h"
#include "ibismux/membership/wide_links.h"

namespace ibismux::membership {

namespace {

constexpr std::uint64_t kTreeSalt = 32;

std::pair<std::uint64_t, std::string> key_of(const std::string& name) {
  return {name_hash(name, kTreeSalt), name};
}

}  // namespace

SpreadTree::Zones SpreadTree::order(const MembershipView& view) {
  using Key = std::tuple<bool, std::uint64_t, std::string>;
  const auto wide = wide_links(view);
  std::map<std::string, std::vector<Key>> keyed;
  for (const Member& member : view.members) {
    if (member.serves()) {
      keyed[member.zone].emplace_back(!wide.contains(member.name),
                                      name_hash(member.name, kTreeSalt),
                                      member.name);
    }
  }
  Zones zones;
  for (auto& [zone, keys] : keyed) {
    std::sort(keys.begin(), keys.end());
    for (auto& [is_narrow, hash, name] : keys) {
      zones[zone].push_back(std::move(name));
    }
  }
  return zones;
}

void SpreadTree::rebuild(const MembershipView& view) {
  this->watcher = false;
  this->above.reset();
  this->below.clear();
  this->tops.clear();
  this->firsts.clear();
  this->rank = 0;
  this->own_rank = 0;
  this->own_zone_size = 0;
  const auto own_key = key_of(view.self);
  const Zones zones = order(view);
  this->line_up_followers(view.self, zones);
  for (const auto& [zone, names] : zones) {
    this->firsts.push_back(names.front());
    for (std::size_t i = 0; i < names.size(); ++i) {
      if (i < this->watchers && names[i] != view.self) {
        this->tops.push_back(names[i]);
      }
      this->rank += key_of(names[i]) < own_key ? 1 : 0;
    }
    this->place(view.self, names);
  }
}

void SpreadTree::line_up_followers(const std::string& self,
                                   const Zones& zones) {
  this->followers.clear();
  std::size_t largest = 0;
  for (const auto& [zone, names] : zones) {
    largest = std::max(largest, names.size());
  }
  for (std::size_t i = this->watchers; i < largest; ++i) {
    for (const auto& [zone, names] : zones) {
      if (i < names.size() && names[i] != self) {
        this->followers.push_back(names[i]);
      }
    }
  }
}

void SpreadTree::place(const std::string& self,
                       const std::vector<std::string>& zone) {
  const auto found = std::find(zone.begin(), zone.end(), self);
  if (found == zone.end()) {
    return;
  }
  const auto index = static_cast<std::size_t>(found - zone.begin());
  this->own_rank = index;
  this->own_zone_size = zone.size();
  this->watcher = index < this->watchers;
  if (index > 0) {
    this->above = zone[(index - 1) / this->fan_out];
  }
  const std::size_t first = index * this->fan_out + 1;
  for (std::size_t i = first; i < first + this->fan_out && i < zone.size();
       ++i) {
    this->below.push_back(zone[i]);
  }
}

}  // namespace ibismux::membership
