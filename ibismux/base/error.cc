#include "ibismux/base/error.h"

#include <array>

namespace ibismux {

namespace {

constexpr std::array<ErrorEntry, kErrorKinds> kTable = {{
    {ErrorKind::kInvalidRequest, "invalid_request", 400, Execution::kNotRun},
    {ErrorKind::kNotFound, "not_found", 404, Execution::kNotRun},
    {ErrorKind::kConflict, "conflict", 409, Execution::kNotRun},
    {ErrorKind::kTooLarge, "too_large", 413, Execution::kNotRun},
    {ErrorKind::kRateLimited, "rate_limited", 429, Execution::kNotRun},
    {ErrorKind::kOverloaded, "overloaded", 503, Execution::kNotRun},
    {ErrorKind::kDeadlineExceeded, "deadline_exceeded", 504,
     Execution::kUnknown},
    {ErrorKind::kCoverageTooLow, "coverage_too_low", 503, Execution::kUnknown},
    {ErrorKind::kNotReady, "not_ready", 503, Execution::kNotRun},
    {ErrorKind::kLeafUnavailable, "leaf_unavailable", 502, Execution::kUnknown},
    {ErrorKind::kPeerUnavailable, "peer_unavailable", 502, Execution::kUnknown},
    {ErrorKind::kPlatformUnavailable, "platform_unavailable", 503,
     Execution::kUnknown},
    {ErrorKind::kSnapshotGone, "snapshot_gone", 503, Execution::kNotRun},
    {ErrorKind::kOutcomeUnknown, "outcome_unknown", 502, Execution::kUnknown},
    {ErrorKind::kKeyReused, "key_reused", 422, Execution::kNotRun},
    {ErrorKind::kCancelled, "cancelled", 499, Execution::kUnknown},
    {ErrorKind::kProtocolError, "protocol_error", 502, Execution::kUnknown},
    {ErrorKind::kInternal, "internal", 500, Execution::kUnknown},
    {ErrorKind::kQuarantined, "quarantined", 503, Execution::kNotRun},
    {ErrorKind::kUnauthorized, "unauthorized", 401, Execution::kNotRun},
}};

constexpr bool rows_in_order() {
  for (std::size_t i = 0; i < kTable.size(); ++i) {
    if (static_cast<std::size_t>(kTable[i].kind) != i) {
      return false;
    }
  }
  return true;
}
static_assert(rows_in_order(), "a row stands where its kind counts to");

}  // namespace

const ErrorEntry& error_entry(ErrorKind kind) noexcept {
  return kTable[static_cast<std::size_t>(kind)];
}

std::optional<ErrorKind> error_kind_of(std::string_view name) noexcept {
  for (const ErrorEntry& entry : kTable) {
    if (entry.name == name) {
      return entry.kind;
    }
  }
  return std::nullopt;
}

Error make_error(ErrorKind kind, std::string message) {
  return Error{kind, std::move(message), error_entry(kind).execution,
               std::nullopt};
}

std::string to_string(const Error& error) {
  std::string line(error_entry(error.kind).name);
  line += ": ";
  line += error.message;
  return line;
}

}  // namespace ibismux
