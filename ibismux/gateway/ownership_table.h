#ifndef IBISMUX_GATEWAY_OWNERSHIP_TABLE_H_
#define IBISMUX_GATEWAY_OWNERSHIP_TABLE_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "ibismux/base/ids.h"

namespace ibismux::gateway {

/// One daemon that may hold connections to a leaf.
struct LeafOwner {
  std::uint32_t member = 0;       ///< Position in `OwnershipTable::members`.
  std::uint32_t connections = 0;  ///< The most it may hold open.

  [[nodiscard]] bool operator==(const LeafOwner&) const = default;
};

/// Which daemons reach which leafs, as one daemon sees it. Immutable once it is
/// published; read through `RcuCell<OwnershipTable>`.
struct OwnershipTable {
  Generation generation = 0;         ///< Of the release it was computed from.
  std::string self;                  ///< The member that computed it.
  std::vector<std::string> members;  ///< Names, in order.
  std::vector<std::string> leafs;    ///< Names, in the release's order.
  /// The owners of leaf `i`, first choice first, are
  /// `owners[first_owner[i]]` up to `owners[first_owner[i + 1]]`.
  std::vector<LeafOwner> owners;
  std::vector<std::uint32_t> first_owner{0};
  /// Positions in `leafs` by name; the keys point into `leafs`.
  std::unordered_map<std::string_view, std::uint32_t> index;

  /// Owners of the leaf at `position`, first choice first. Precondition:
  /// `position < leafs.size()`. Thread safe.
  [[nodiscard]] std::span<const LeafOwner> owners_of(
      std::size_t position) const noexcept {
    const std::size_t begin = this->first_owner[position];
    const std::size_t end = this->first_owner[position + 1];
    return std::span(this->owners).subspan(begin, end - begin);
  }

  /// The member that `owner` is. Thread safe.
  [[nodiscard]] const std::string& member_of(
      const LeafOwner& owner) const noexcept {
    return this->members[owner.member];
  }

  /// Owners of the leaf called `name`; none where it is unknown. Thread safe.
  [[nodiscard]] std::span<const LeafOwner> owners_of(
      std::string_view name) const noexcept {
    const auto found = this->index.find(name);
    return found == this->index.end() ? std::span<const LeafOwner>()
                                      : this->owners_of(found->second);
  }
};

}  // namespace ibismux::gateway

#endif  // IBISMUX_GATEWAY_OWNERSHIP_TABLE_H_
