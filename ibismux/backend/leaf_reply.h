#ifndef IBISMUX_BACKEND_LEAF_REPLY_H_
#define IBISMUX_BACKEND_LEAF_REPLY_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "ibismux/base/error.h"

namespace ibismux::backend {

/// What the outcome of one call tells about the leaf and its connection.
enum class LeafSignal : unsigned char {
  kAnswered,
  kOverloaded,
  kWarming,
  kDraining,
  kSnapshotGone,
  kCancelled,
  kLeafTimeout,  ///< The leaf answered that the deadline has passed.
  kFailed,       ///< The leaf answered with any other error status.
  kLost,         ///< The connection broke, or the answer was truncated.
  kSilent,       ///< No answer within the allowed time.
  kForeign,      ///< The answer belongs to another call; it is dropped.
};

inline constexpr std::size_t kLeafSignals = 11;

/// The label for metrics and logs. Thread safe.
[[nodiscard]] std::string_view to_string(LeafSignal signal) noexcept;

/// How one call to a leaf ended.
struct LeafReply {
  Result<std::string> body;
  LeafSignal signal = LeafSignal::kAnswered;
  bool leaving = false;  ///< The leaf asks for no new calls.
};

}  // namespace ibismux::backend

#endif  // IBISMUX_BACKEND_LEAF_REPLY_H_
