#ifndef IBISMUX_RELAY_TALLIES_H_
#define IBISMUX_RELAY_TALLIES_H_

#include <cstddef>
#include <map>

#include "ibismux/base/ids.h"

namespace ibismux::relay {

/// How many daemons have which generation in force. Keeps the few newest
/// generations apart and counts older ones under the lowest, so that it never
/// claims more than is true. Not thread safe.
class Tallies {
 public:
  void add(Generation generation, std::size_t members);
  void add(const Tallies& other);

  /// Daemons with `generation` or a higher one.
  [[nodiscard]] std::size_t reached(Generation generation) const;
  [[nodiscard]] std::size_t members() const;
  [[nodiscard]] const std::map<Generation, std::size_t>& counts()
      const noexcept {
    return this->by_generation;
  }
  [[nodiscard]] bool operator==(const Tallies&) const = default;

 private:
  static constexpr std::size_t kKept = 4;

  std::map<Generation, std::size_t> by_generation;
};

}  // namespace ibismux::relay

#endif  // IBISMUX_RELAY_TALLIES_H_
