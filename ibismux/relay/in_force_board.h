#ifndef IBISMUX_RELAY_IN_FORCE_BOARD_H_
#define IBISMUX_RELAY_IN_FORCE_BOARD_H_

#include <algorithm>
#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "ibismux/base/time.h"
#include "ibismux/relay/tallies.h"

namespace ibismux::relay {

/// What the zones last said is in force, and whether anybody wants to know.
/// Thread safe.
class InForceBoard {
 public:
  /// Notes that somebody asks. @return The sum over all zones.
  [[nodiscard]] Tallies read(TimePoint now) {
    std::lock_guard lock(this->mutex);
    this->asked = now;
    Tallies sum;
    for (const auto& [root, tallies] : this->zones) {
      sum.add(tallies);
    }
    return sum;
  }

  /// Whether somebody asked lately.
  [[nodiscard]] bool wanted(TimePoint now) {
    std::lock_guard lock(this->mutex);
    return now - this->asked < kInterest;
  }

  /// Replaces what `root`, the first member of a zone, said.
  void put(const std::string& root, Tallies tallies) {
    std::lock_guard lock(this->mutex);
    this->zones[root] = std::move(tallies);
  }

  /// Forgets members that are no longer the first of a zone.
  void keep(const std::vector<std::string>& roots) {
    std::lock_guard lock(this->mutex);
    std::erase_if(this->zones, [&roots](const auto& entry) {
      return std::find(roots.begin(), roots.end(), entry.first) == roots.end();
    });
  }

 private:
  static constexpr std::chrono::seconds kInterest{5};

  std::mutex mutex;
  std::map<std::string, Tallies> zones;
  TimePoint asked = TimePoint{} - kInterest;
};

}  // namespace ibismux::relay

#endif  // IBISMUX_RELAY_IN_FORCE_BOARD_H_
