#ifndef IBISMUX_BASE_ERROR_H_
#define IBISMUX_BASE_ERROR_H_

#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>

#include "ibismux/base/time.h"

namespace ibismux {

/// The closed list of what can go wrong. A caller, an operator, a metric and a
/// log line all see one of these; `error_entry()` maps each to its answer.
enum class ErrorKind : unsigned char {
  kInvalidRequest,
  kNotFound,
  kConflict,
  kTooLarge,
  kRateLimited,
  kOverloaded,
  kDeadlineExceeded,
  kCoverageTooLow,
  kNotReady,
  kLeafUnavailable,
  kPeerUnavailable,
  kPlatformUnavailable,
  kSnapshotGone,
  kOutcomeUnknown,
  kKeyReused,
  kCancelled,
  kProtocolError,
  kInternal,
  kQuarantined,   ///< Leafs end under this request.
  kUnauthorized,  ///< No API key, or one that no customer holds.
};

/// How many kinds there are; the table has exactly as many rows.
inline constexpr std::size_t kErrorKinds = 20;

/// Whether the work that failed was run. `kNotRun` is a promise: not one byte
/// of it was executed by a leaf.
enum class Execution : unsigned char { kNotRun, kUnknown };

/// One row of the table from kind to answer.
struct ErrorEntry {
  ErrorKind kind;
  std::string_view name;  ///< Stable, snake case; callers may match on it.
  int http_status;
  Execution execution;  ///< What holds unless the error itself says otherwise.
};

/// One failure. Prints as one line.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;
  Execution execution = Execution::kUnknown;
  /// When the caller should come back; absent where coming back won't help.
  std::optional<std::chrono::milliseconds> retry_after = std::nullopt;
};

template <class T>
using Result = tl::expected<T, Error>;

/// The row of `kind`. Thread safe.
[[nodiscard]] const ErrorEntry& error_entry(ErrorKind kind) noexcept;

/// The kind whose stable name is `name`, or nothing. Thread safe.
[[nodiscard]] std::optional<ErrorKind> error_kind_of(
    std::string_view name) noexcept;

/// An error of `kind` with the execution that its row gives. Thread safe.
[[nodiscard]] Error make_error(ErrorKind kind, std::string message);

/// The same, ready to return from a function that gives a `Result`.
///
///     if (body.empty()) return fail(ErrorKind::kInvalidRequest, "empty body");
[[nodiscard]] inline tl::unexpected<Error> fail(ErrorKind kind,
                                                std::string message) {
  return tl::unexpected<Error>(make_error(kind, std::move(message)));
}

/// `kind: message`, on one line. Thread safe.
[[nodiscard]] std::string to_string(const Error& error);

}  // namespace ibismux

#endif  // IBISMUX_BASE_ERROR_H_
