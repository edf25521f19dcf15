#include "ibismux/membership/member_record.h"

#include <xxhash.h>

#include <array>
#include <tuple>

#include "ibismux/base/text_hash.h"

namespace ibismux::membership {

bool supersedes(const MemberRecord& fresh, const MemberRecord& known) noexcept {
  // Within one epoch a doubt goes over a claim: only the member itself can
  // settle it, and does so in a new epoch.
  const auto order = [](const MemberRecord& record) {
    return std::make_tuple(record.epoch, record.member.incarnation,
                           record.member.state);
  };
  return order(fresh) > order(known);
}

std::uint64_t fingerprint(const MemberRecord& record) noexcept {
  const std::array<std::uint64_t, 3> parts{
      record.member.incarnation, record.epoch,
      record.member.state == Member::State::kLeaving ? 1U : 0U};
  return XXH3_64bits_withSeed(parts.data(), sizeof(parts),
                              name_hash(record.member.name, 0));
}

std::uint64_t name_hash(const std::string& name, std::uint64_t salt) noexcept {
  return text_hash(name, salt);
}

}  // namespace ibismux::membership
