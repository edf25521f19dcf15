#ifndef IBISMUX_CUSTOMERS_OWNER_SELECTOR_H_
#define IBISMUX_CUSTOMERS_OWNER_SELECTOR_H_

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "ibismux/base/time.h"
#include "ibismux/customers/owner_candidate.h"
#include "ibismux/customers/owner_ranking.h"

namespace ibismux::customers {

/// Selects the daemons that own the limit of a customer, by rendezvous hashing:
/// the first ones of up to `kOwners` zones.
///
/// A daemon that has become unreachable keeps its parts for `kRetention`, since
/// it may still grant requests to daemons that reach it. A daemon that has
/// announced that it leaves loses them at once. Where fewer than half of the
/// members are left, nobody owns anything: the others may be on the other side
/// of a network partition, with owners of their own.
///
/// Uses no sockets and reads no clock; not thread safe.
class OwnerSelector {
 public:
  static constexpr std::chrono::seconds kRetention{30};

  using Candidate = OwnerCandidate;

  /// Replaces the members.
  /// @param fleet_size The number of members, those that can't be reached
  /// included, as far as it is known.
  /// @return Whether owners may have changed.
  [[nodiscard]] bool on_members(const std::vector<Candidate>& members,
                                std::size_t fleet_size,
                                TimePoint now);

  /// The owners of the limit of `customer`, best first; empty if there is no
  /// majority.
  [[nodiscard]] const std::vector<std::string>& owners(
      const std::string& customer);

  [[nodiscard]] bool is_owner(const std::string& member,
                              const std::string& customer);

  /// Since when `member` has been an owner without interruption, as far as the
  /// changes within `kHistory` show. Precondition: it is an owner.
  [[nodiscard]] TimePoint owner_since(const std::string& member,
                                      const std::string& customer) const;

  /// Whether this daemon knows all members that may own parts. A daemon that
  /// has just started doesn't know those that became unreachable before. It may
  /// then own a part by its own view only.
  [[nodiscard]] bool is_settled(TimePoint now) const;

  /// The zone of `member`, or nothing if it is unknown.
  [[nodiscard]] std::string zone_of(const std::string& member) const;

 private:
  using Member = OwnerRanking::Member;

  struct Sighting {
    Member member;
    TimePoint seen_at;
  };

  // How long the largest fleet that was seen counts for the majority.
  static constexpr std::chrono::minutes kSizeRetention{10};

  /// What has changed in the set of members that may be owners. Only changes
  /// are kept: the sets themselves are as large as the fleet.
  struct Change {
    std::vector<Member> added;
    std::vector<Member> removed;
    bool has_majority = false;  ///< From this change on.
    TimePoint at;
  };

  // How long changes of the members are remembered, and how many of them: as
  // many as views of a membership that ticks five times a second.
  static constexpr std::chrono::seconds kHistory{60};
  static constexpr std::size_t kMaxHistory = 300;

  /// Records a member that was seen now. @param change What it changes.
  void note(const Candidate& candidate, TimePoint now, Change& change);
  [[nodiscard]] bool has_majority() const noexcept {
    return this->changes.back().has_majority;
  }
  /// All members, and those that the remembered changes have removed.
  [[nodiscard]] std::vector<Member> members_in_history() const;

  std::map<std::string, Sighting> members;
  std::size_t largest = 0;
  TimePoint largest_at = TimePoint::min();
  TimePoint started = TimePoint::max();  ///< First call of `on_members()`.
  /// The newest last; not empty.
  std::deque<Change> changes = {Change{}};
  std::map<std::string, std::vector<std::string>> cache;  ///< By customer.
};

}  // namespace ibismux::customers

#endif  // IBISMUX_CUSTOMERS_OWNER_SELECTOR_H_
