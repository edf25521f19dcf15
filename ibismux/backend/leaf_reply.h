#ifndef IBISMUX_BACKEND_LEAF_REPLY_H_
#define IBISMUX_BACKEND_LEAF_REPLY_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "ibismux/base/error.h"

namespace ibismux::backend {

/// What one exchange shows of the leaf and its connection.
enum class LeafSignal : unsigned char {
  kAnswered,
  kOverloaded,
  kWarming,
  kDraining,
  kSnapshotGone,
  kCancelled,
  kLeafTimeout,  ///< The leaf itself says that the deadline passed.
  kFailed,       ///< Any other status: the leaf answers, but with an error.
  kLost,         ///< The connection broke, or the answer was truncated.
  kSilent,       ///< No answer within the time allowed.
  kForeign,      ///< The answer of another call; dropped.
};

inline constexpr std::size_t kLeafSignals = 11;

/// Label of metrics and logs. Thread safe.
[[nodiscard]] std::string_view to_string(LeafSignal signal) noexcept;

/// How one call to a leaf ended.
struct LeafReply {
  Result<std::string> body;
  LeafSignal signal = LeafSignal::kAnswered;
  bool leaving = false;  ///< The leaf wants no new work.
};

}  // namespace ibismux::backend

#endif  // IBISMUX_BACKEND_LEAF_REPLY_H_
