#ifndef IBISMUX_BASE_LEAF_WAIT_H_
#define IBISMUX_BASE_LEAF_WAIT_H_

#include <algorithm>
#include <cstdint>
#include <optional>

#include "ibismux/base/time.h"

namespace ibismux {

/// How long the calls of one request waited for their leafs, against how long
/// the leafs worked on them. Waiting is what load makes; a straggling leaf
/// works longer and makes nobody wait but those behind it.
///
///     LeafWait wait;
///     wait.add(answer.queue_time, answer.leaf_time);
///     wait.stretch();  // 1: none waited; 2: as long as the work took.
///
/// Not thread safe.
class LeafWait {
 public:
  /// A call was answered.
  void add(Duration queue_time, Duration leaf_time) noexcept {
    const double work =
        std::max<double>(1, static_cast<double>(leaf_time.count()));
    const double waited = static_cast<double>(queue_time.count());
    this->sum += std::min(kMostStretch, 1 + waited / work);
    ++this->calls;
  }

  /// The mean over calls of waiting and work over work alone; absent where no
  /// call was answered.
  [[nodiscard]] std::optional<double> stretch() const noexcept {
    return this->calls == 0 ? std::nullopt
                            : std::optional(this->sum / this->calls);
  }

 private:
  /// No call counts for more: the queue of a single slow leaf would otherwise
  /// outweigh all the calls that did not wait.
  static constexpr double kMostStretch = 5.0;

  double sum = 0;
  std::uint32_t calls = 0;
};

}  // namespace ibismux

#endif  // IBISMUX_BASE_LEAF_WAIT_H_
