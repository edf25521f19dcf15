#ifndef IBISMUX_MEMBERSHIP_MEMBER_RECORD_H_
#define IBISMUX_MEMBERSHIP_MEMBER_RECORD_H_

#include <cstdint>

#include "ibismux/membership/membership_view.h"

namespace ibismux::membership {

/// A statement about one member, as it spreads among daemons.
///
/// Incarnations are random, so they can't say which of two is newer. The epoch
/// can: a daemon starts with the wall-clock time of its start, and raises its
/// epoch over any that it hears about its own name.
struct MemberRecord {
  Member member;
  std::uint64_t epoch = 0;
};

/// Whether `fresh` replaces `known`. Both name the same member. A total order:
/// two daemons that hear the same statements in any order end with the same
/// one. Thread safe.
[[nodiscard]] bool supersedes(const MemberRecord& fresh,
                              const MemberRecord& known) noexcept;

/// A hash of what tables of two daemons must agree on. A suspicion is not part
/// of it: it is settled within seconds either way. Thread safe.
[[nodiscard]] std::uint64_t fingerprint(const MemberRecord& record) noexcept;

/// A hash of a name, for placing it; `salt` gives independent ones. Thread
/// safe.
[[nodiscard]] std::uint64_t name_hash(const std::string& name,
                                      std::uint64_t salt) noexcept;

}  // namespace ibismux::membership

#endif  // IBISMUX_MEMBERSHIP_MEMBER_RECORD_H_
