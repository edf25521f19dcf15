#include "ibismux/membership/overlay.h"

#include <algorithm>
#include <limits>

#include "ibismux/membership/member_record.h"

namespace ibismux::membership {

namespace {

/// Salts below are taken by the digests.
constexpr std::uint64_t kFirstSalt = 16;

void add_once(std::vector<std::string>& list, const std::string& name) {
  if (std::find(list.begin(), list.end(), name) == list.end()) {
    list.push_back(name);
  }
}

}  // namespace

void Overlay::rebuild(const std::string& self,
                      const std::vector<std::string>& names) {
  this->next.clear();
  this->all.clear();
  std::vector<std::string> before;
  for (std::size_t ring = 0; ring < this->rings; ++ring) {
    const std::uint64_t here = name_hash(self, kFirstSalt + ring);
    std::uint64_t ahead = std::numeric_limits<std::uint64_t>::max();
    std::uint64_t behind = ahead;
    const std::string* following = nullptr;
    const std::string* preceding = nullptr;
    for (const std::string& name : names) {
      if (name == self) {
        continue;
      }
      // Distances around the ring, by unsigned wrapping.
      const std::uint64_t there = name_hash(name, kFirstSalt + ring);
      if (there - here <= ahead) {
        ahead = there - here;
        following = &name;
      }
      if (here - there <= behind) {
        behind = here - there;
        preceding = &name;
      }
    }
    if (following != nullptr) {
      add_once(this->next, *following);
      add_once(before, *preceding);
    }
  }
  this->all = this->next;
  for (const std::string& name : before) {
    add_once(this->all, name);
  }
}

}  // namespace ibismux::membership
