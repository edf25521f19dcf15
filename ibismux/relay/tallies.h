#ifndef IBISMUX_RELAY_TALLIES_H_
#define IBISMUX_RELAY_TALLIES_H_

#include <cstddef>
#include <map>

#include "ibismux/base/ids.h"

namespace ibismux::relay {

/// Counts the daemons that have each generation in force. Only a few newest
/// generations are counted separately; older ones are added to the lowest
/// generation, so that `reached()` never exceeds the true number. Not thread
/// safe.
class Tallies {
 public:
  void add(Generation generation, std::size_t members);
  void add(const Tallies& other);

  /// The number of daemons that have `generation` or a higher one in force.
  [[nodiscard]] std::size_t reached(Generation generation) const;
  [[nodiscard]] std::size_t members() const;
  [[nodiscard]] const std::map<Generation, std::size_t>& counts()
      const noexcept {
    return this->by_generation;
  }
  [[nodiscard]] bool operator==(const Tallies&) const = default;

 private:
  static constexpr std::size_t kMaxGenerations = 4;

  std::map<Generation, std::size_t> by_generation;
};

}  // namespace ibismux::relay

#endif  // IBISMUX_RELAY_TALLIES_H_
