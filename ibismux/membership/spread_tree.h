#ifndef IBISMUX_MEMBERSHIP_SPREAD_TREE_H_
#define IBISMUX_MEMBERSHIP_SPREAD_TREE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ibismux/membership/membership_view.h"

namespace ibismux::membership {

/// One daemon's place in the trees down which releases go: a tree for each
/// availability zone, so that a release crosses between zones once.
///
/// The members of a zone that serve stand in the order of a hash of their
/// names, those with wide links first, as a heap of bounded fan-out; the first
/// of them watch the platform. Whoever tells thirty others of a change sends it
/// thirty times: a narrow link is full for most of a second by the entries of a
/// hundred new leafs.
/// Daemons whose views differ build different trees; then some miss a push, and
/// find out when they compare generations. Not thread safe.
class SpreadTree {
 public:
  SpreadTree(std::size_t watchers, std::size_t fan_out)
      : watchers(watchers), fan_out(fan_out) {}

  void rebuild(const MembershipView& view);

  /// Whether this daemon watches the platform for its zone.
  [[nodiscard]] bool watches() const noexcept { return this->watcher; }
  /// Where this daemon reports to; nobody for the first of its zone.
  [[nodiscard]] const std::optional<std::string>& parent() const noexcept {
    return this->above;
  }
  [[nodiscard]] const std::vector<std::string>& children() const noexcept {
    return this->below;
  }
  /// Whom a daemon that has a new release first tells: the watchers of each
  /// zone, without this daemon.
  [[nodiscard]] const std::vector<std::string>& entries() const noexcept {
    return this->tops;
  }
  /// The first member of each zone, this daemon perhaps among them.
  [[nodiscard]] const std::vector<std::string>& roots() const noexcept {
    return this->firsts;
  }
  /// Members behind the watchers of their zones, this daemon not among them:
  /// the first behind them of each zone, then the second of each, and so on.
  [[nodiscard]] const std::vector<std::string>& behind_watchers()
      const noexcept {
    return this->followers;
  }
  /// Zones that have members.
  [[nodiscard]] std::size_t zones() const noexcept {
    return this->firsts.size();
  }
  /// This daemon's position in its zone, from 0; the zone's size if it doesn't
  /// serve.
  [[nodiscard]] std::size_t zone_rank() const noexcept {
    return this->own_rank;
  }
  /// Members of this daemon's zone; 0 if it doesn't serve.
  [[nodiscard]] std::size_t zone_size() const noexcept {
    return this->own_zone_size;
  }
  /// This daemon's position in an order of the whole fleet, from 0; the size
  /// of the fleet if it doesn't serve.
  [[nodiscard]] std::size_t fleet_rank() const noexcept { return this->rank; }

 private:
  using Zones = std::map<std::string, std::vector<std::string>>;
  static Zones order(const MembershipView& view);
  void place(const std::string& self, const std::vector<std::string>& zone);
  void line_up_followers(const std::string& self, const Zones& zones);

  std::size_t watchers;
  std::size_t fan_out;
  bool watcher = false;
  std::optional<std::string> above;
  std::vector<std::string> below;
  std::vector<std::string> tops;
  std::vector<std::string> firsts;
  std::vector<std::string> followers;
  std::size_t own_rank = 0;
  std::size_t own_zone_size = 0;
  std::size_t rank = 0;
};

}  // namespace ibismux::membership

#endif  // IBISMUX_MEMBERSHIP_SPREAD_TREE_H_
