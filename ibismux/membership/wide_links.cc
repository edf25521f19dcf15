#include "ibismux/membership/wide_links.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <vector>

#include "ibismux/membership/membership_view.h"

namespace ibismux::membership {

namespace {

double median_width(const std::vector<const Member*>& members) {
  std::vector<double> widths;
  widths.reserve(members.size());
  for (const Member* member : members) {
    widths.push_back(member->link_mbps);
  }
  const auto middle =
      widths.begin() + static_cast<std::ptrdiff_t>(widths.size() / 2);
  std::nth_element(widths.begin(), middle, widths.end());
  return *middle;
}

}  // namespace

std::set<std::string, std::less<>> wide_links(const MembershipView& view) {
  std::map<std::string, std::vector<const Member*>> zones;
  for (const Member& member : view.members) {
    if (member.serves() && member.link_mbps > 0) {
      zones[member.zone].push_back(&member);
    }
  }
  std::set<std::string, std::less<>> wide;
  for (const auto& [zone, members] : zones) {
    const double least = median_width(members) * kWideLinkRatio;
    for (const Member* member : members) {
      if (member->link_mbps >= least) {
        wide.insert(member->name);
      }
    }
  }
  return wide;
}

}  // namespace ibismux::membership
