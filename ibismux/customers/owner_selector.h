#ifndef IBISMUX_CUSTOMERS_OWNER_SELECTOR_H_
#define IBISMUX_CUSTOMERS_OWNER_SELECTOR_H_

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "ibismux/base/time.h"

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

  struct Candidate {
    std::string name;
    std::string zone;
    bool leaving = false;

    [[nodiscard]] bool operator==(const Candidate&) const = default;
  };

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
  struct Member {
    std::string zone;
    TimePoint seen_at;
  };

  // How long the largest fleet that was seen counts for the majority.
  static constexpr std::chrono::minutes kSizeRetention{10};

  /// The members that may be owners.
  struct Electorate {
    std::map<std::string, std::string> zones;  ///< By member.
    bool has_majority = false;
    TimePoint since;

    [[nodiscard]] std::vector<std::string> owners(
        const std::string& customer) const;
  };

  // How long changes of the members are remembered, and how many of them.
  static constexpr std::chrono::seconds kHistory{60};
  static constexpr std::size_t kMaxHistory = 32;

  std::map<std::string, Member> members;
  std::size_t largest = 0;
  TimePoint largest_at = TimePoint::min();
  TimePoint started = TimePoint::max();  ///< First call of `on_members()`.
  /// The newest last; not empty.
  std::deque<Electorate> electorates = {Electorate{}};
  std::map<std::string, std::vector<std::string>> cache;  ///< By customer.
};

}  // namespace ibismux::customers

#endif  // IBISMUX_CUSTOMERS_OWNER_SELECTOR_H_
