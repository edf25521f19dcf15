#ifndef IBISMUX_RELAY_IN_FORCE_AGGREGATOR_H_
#define IBISMUX_RELAY_IN_FORCE_AGGREGATOR_H_

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

/// Caches the tallies that each availability zone last reported, and when they
/// were last read. Thread safe.
class InForceAggregator {
 public:
  /// Records the time of the read. @return The sum over all zones.
  [[nodiscard]] Tallies read(TimePoint now) {
    std::lock_guard lock(this->mutex);
    this->last_read = now;
    Tallies sum;
    for (const auto& [root, tallies] : this->zones) {
      sum.add(tallies);
    }
    return sum;
  }

  /// Whether `read()` was called within the last `kPollAfterRead`.
  [[nodiscard]] bool recently_read(TimePoint now) {
    std::lock_guard lock(this->mutex);
    return now - this->last_read < kPollAfterRead;
  }

  /// Replaces the tallies reported by `root`, the first member of a zone.
  void put(const std::string& root, Tallies tallies) {
    std::lock_guard lock(this->mutex);
    this->zones[root] = std::move(tallies);
  }

  /// Removes the tallies of all members that are not among `roots`.
  void retain(const std::vector<std::string>& roots) {
    std::lock_guard lock(this->mutex);
    std::erase_if(this->zones, [&roots](const auto& entry) {
      return std::find(roots.begin(), roots.end(), entry.first) == roots.end();
    });
  }

 private:
  static constexpr std::chrono::seconds kPollAfterRead{5};

  std::mutex mutex;
  std::map<std::string, Tallies> zones;
  TimePoint last_read = TimePoint{} - kPollAfterRead;
};

}  // namespace ibismux::relay

#endif  // IBISMUX_RELAY_IN_FORCE_AGGREGATOR_H_
