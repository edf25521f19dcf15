#ifndef IBISMUX_GATHER_OVERFLOW_ASKS_H_
#define IBISMUX_GATHER_OVERFLOW_ASKS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <pcg_random.hpp>
#include <string>
#include <utility>
#include <vector>

#include "ibismux/base/time.h"

namespace ibismux::gather {

/// Decides which gatherers of other zones a daemon asks for offers while none
/// of its own zone takes its queries.
///
/// Answers the load of a zone whose demand is several times the usual, or whose
/// gatherers are slow or gone, while those of other zones have room. Two are
/// asked at random, so that daemons that run out of gatherers together don't
/// all turn to the same one.
///
/// Uses no sockets and reads no clock; not thread safe. The times passed in
/// must not decrease.
class OverflowAsks {
 public:
  /// Least time between two rounds of questions.
  static constexpr std::chrono::milliseconds kInterval{200};
  /// Gatherers that are asked in one round.
  static constexpr std::size_t kAsked = 2;

  /// @param seed Differs between daemons.
  explicit OverflowAsks(std::uint64_t seed) : random(seed) {}

  /// Replaces the gatherers of other zones.
  void set_gatherers(std::vector<std::string> members) {
    this->gatherers = std::move(members);
  }

  /// A query finds no gatherer. @return Whom to ask for an offer now.
  [[nodiscard]] std::vector<std::string> on_unavailable(TimePoint now);

 private:
  pcg32 random;
  std::vector<std::string> gatherers;
  TimePoint next_round = TimePoint::min();
};

}  // namespace ibismux::gather

#endif  // IBISMUX_GATHER_OVERFLOW_ASKS_H_
