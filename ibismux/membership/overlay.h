#ifndef IBISMUX_MEMBERSHIP_OVERLAY_H_
#define IBISMUX_MEMBERSHIP_OVERLAY_H_

#include <cstdint>
#include <string>
#include <vector>

namespace ibismux::membership {

/// Who watches whom, and along which links records spread: all members on a few
/// rings, each ordered by a hash of its own.
///
/// A member watches the next one on each ring and is watched by the one before
/// it. With three rings the links form a random graph of degree six, on which
/// a record reaches 2,400 members in about five hops over connections that
/// last. Not thread safe.
class Overlay {
 public:
  explicit Overlay(std::size_t rings) : rings(rings) {}

  /// Takes the members' names; `self` need not be among them.
  void rebuild(const std::string& self, const std::vector<std::string>& names);

  /// Whom this daemon probes: the next on each ring, once each.
  [[nodiscard]] const std::vector<std::string>& watched() const noexcept {
    return this->next;
  }
  /// Watched and watchers, once each: where gossip goes.
  [[nodiscard]] const std::vector<std::string>& neighbours() const noexcept {
    return this->all;
  }

 private:
  std::size_t rings;
  std::vector<std::string> next;
  std::vector<std::string> all;
};

}  // namespace ibismux::membership

#endif  // IBISMUX_MEMBERSHIP_OVERLAY_H_
