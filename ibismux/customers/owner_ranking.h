#ifndef IBISMUX_CUSTOMERS_OWNER_RANKING_H_
#define IBISMUX_CUSTOMERS_OWNER_RANKING_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "ibismux/customers/owner_candidate.h"

namespace ibismux::customers {

/// The members of a fleet in the order in which they become owners of the limit
/// of one customer, by rendezvous hashing: the first one of each zone, then the
/// second ones.
///
/// Sorts only as many members as it is asked for, since a fleet has far more of
/// them than a limit has owners. Uses no sockets and reads no clock; not thread
/// safe.
class OwnerRanking {
 public:
  using Member = std::shared_ptr<const OwnerCandidate>;

  /// @param members Outlives this object. May hold the same name in several
  /// zones.
  OwnerRanking(const std::string& customer, const std::vector<Member>& members);

  /// The first `kOwners` of the members for which `is_member` is true, best
  /// first.
  [[nodiscard]] std::vector<std::string> owners(
      const std::function<bool(const OwnerCandidate&)>& is_member);

 private:
  struct Ranked {
    std::uint64_t hash;
    const OwnerCandidate* member;

    [[nodiscard]] bool operator<(const Ranked& other) const noexcept {
      return this->hash < other.hash;
    }
  };

  /// The member with the `index`-th greatest hash, or null after the last one.
  [[nodiscard]] const OwnerCandidate* at(std::size_t index);

  std::size_t zones = 0;
  std::vector<Ranked> unsorted;  ///< A heap of those that aren't in `sorted`.
  std::vector<Ranked> sorted;    ///< Greatest hash first.
};

}  // namespace ibismux::customers

#endif  // IBISMUX_CUSTOMERS_OWNER_RANKING_H_
