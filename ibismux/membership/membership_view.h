#ifndef IBISMUX_MEMBERSHIP_MEMBERSHIP_VIEW_H_
#define IBISMUX_MEMBERSHIP_MEMBERSHIP_VIEW_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "ibismux/base/zone_sizes.h"

namespace ibismux::membership {

/// One daemon as this daemon sees it.
struct Member {
  enum class State : unsigned char { kAlive, kSuspect, kLeaving, kFailed };

  std::string name;
  std::uint64_t incarnation = 0;
  std::string address;  ///< IP number of the peer port.
  std::uint16_t port = 0;
  std::string zone;
  State state = State::kAlive;
  double link_mbps = 0;  ///< Width of its link, in Mbit/s; 0: not known.

  /// May own leafs and buckets: alive or only suspected.
  [[nodiscard]] bool serves() const noexcept {
    return this->state == State::kAlive || this->state == State::kSuspect;
  }
};

inline constexpr std::string_view kMemberStateNames[] = {"alive", "suspect",
                                                         "leaving", "failed"};

/// As status pages name it. Thread safe.
[[nodiscard]] constexpr std::string_view to_string(
    Member::State state) noexcept {
  return kMemberStateNames[static_cast<std::size_t>(state)];
}

/// What this daemon believes of the fleet, itself included; in order of names.
/// Views of two daemons may differ; safety never depends on them.
struct MembershipView {
  std::uint64_t revision = 0;  ///< Local; rises with each change.
  std::string self;
  std::vector<Member> members;
  /// Whether this daemon has met others, or has reason to believe that there
  /// are none. Until then "no others" means nothing.
  bool joined = true;

  /// How many members serve; at least 1.
  [[nodiscard]] std::size_t serving() const noexcept {
    std::size_t count = 0;
    for (const Member& member : this->members) {
      count += member.serves() ? 1 : 0;
    }
    return count > 0 ? count : 1;
  }

  /// How many members of each zone serve.
  [[nodiscard]] ZoneSizes serving_by_zone() const {
    ZoneSizes sizes;
    for (const Member& member : this->members) {
      if (member.serves()) {
        ++sizes[member.zone];
      }
    }
    return sizes;
  }
};

}  // namespace ibismux::membership

#endif  // IBISMUX_MEMBERSHIP_MEMBERSHIP_VIEW_H_
