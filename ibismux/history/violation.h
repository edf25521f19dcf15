#ifndef IBISMUX_HISTORY_VIOLATION_H_
#define IBISMUX_HISTORY_VIOLATION_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace ibismux::history {

/// What a history can show to be broken.
enum class ViolationKind : unsigned char {
  kMixedSnapshot,       ///< Parts of two snapshots in one answer.
  kFalseCoverage,       ///< Coverage that the leafs' answers don't bear out.
  kForeignPart,         ///< A part of another request, shard or key.
  kFalseNotRun,         ///< "Not run" of what a leaf ran.
  kDoubleExecution,     ///< A reservation that ran more than once.
  kWorkAfterLeaving,    ///< New work for a leaf that had been leaving.
  kCutRequest,          ///< A request without an answer.
  kRevertedGeneration,  ///< A daemon went back to an older configuration.
  kLateInForce,         ///< Not in force in time after acceptance.
  kUnreadable           ///< A line that is no record.
};

inline constexpr std::size_t kViolationKinds = 10;

/// Stable, snake case. Thread safe.
[[nodiscard]] std::string_view name_of(ViolationKind kind) noexcept;

struct Violation {
  ViolationKind kind = ViolationKind::kUnreadable;
  std::string request;   ///< Request, key, leaf or daemon that it is about.
  std::string evidence;  ///< What the history says, on one line.
};

/// `kind request: evidence`, on one line. Thread safe.
[[nodiscard]] std::string to_string(const Violation& violation);

/// Takes each violation as it is found.
using Report = std::function<void(const Violation&)>;

}  // namespace ibismux::history

#endif  // IBISMUX_HISTORY_VIOLATION_H_
