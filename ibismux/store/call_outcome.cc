#include "ibismux/store/call_outcome.h"

#include <charconv>
#include <string>

#include "ibismux/store/wire.h"

namespace ibismux::store {

namespace {

using Health = CallOutcome::Health;

struct StatusRow {
  int status;
  CallResult result;
  Health health;
  ErrorKind kind;
  Execution execution;
};

constexpr StatusRow kStatuses[] = {
    {200, CallResult::kOk, Health::kGood, ErrorKind::kInternal,
     Execution::kUnknown},
    {410, CallResult::kOk, Health::kGood, ErrorKind::kInternal,
     Execution::kUnknown},
    {400, CallResult::kRefused, Health::kGood, ErrorKind::kProtocolError,
     Execution::kNotRun},
    {404, CallResult::kNotFound, Health::kGood, ErrorKind::kNotFound,
     Execution::kNotRun},
    {413, CallResult::kRefused, Health::kGood, ErrorKind::kTooLarge,
     Execution::kNotRun},
    {429, CallResult::kRateLimited, Health::kGood,
     ErrorKind::kPlatformUnavailable, Execution::kNotRun},
    {503, CallResult::kUnavailable, Health::kBad,
     ErrorKind::kPlatformUnavailable, Execution::kNotRun},
};

constexpr StatusRow kConflictRow = {0, CallResult::kConflict, Health::kGood,
                                    ErrorKind::kConflict, Execution::kNotRun};

constexpr int kFirstServerError = 500;

StatusRow row_of(int status, int conflict_status) {
  if (status == conflict_status) {
    return kConflictRow;
  }
  for (const StatusRow& row : kStatuses) {
    if (row.status == status) {
      return row;
    }
  }
  // A balancer in front of the platform answers 500, 502 or 504 of its own,
  // also when the write behind it went through.
  return status >= kFirstServerError
             ? StatusRow{status, CallResult::kLost, Health::kBad,
                         ErrorKind::kPlatformUnavailable, Execution::kUnknown}
             : StatusRow{status, CallResult::kMalformed, Health::kGood,
                         ErrorKind::kProtocolError, Execution::kUnknown};
}

std::optional<std::chrono::milliseconds> retry_after(
    const http::Response& response) {
  const std::string_view field = response.field("Retry-After");
  unsigned seconds = 0;
  const auto parsed =
      std::from_chars(field.data(), field.data() + field.size(), seconds);
  if (parsed.ec != std::errc()) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

}  // namespace

CallOutcome outcome_of(const http::Response& response, int conflict_status) {
  const StatusRow row = row_of(response.status, conflict_status);
  if (row.result == CallResult::kOk) {
    return {};
  }
  std::string message = "platform answered " + std::to_string(response.status);
  if (row.result == CallResult::kConflict) {
    const auto current = wire::parse_version(response.body);
    message += current ? ", version is " + std::to_string(*current) : "";
  }
  return {row.result, row.health,
          Error{row.kind, std::move(message), row.execution,
                retry_after(response)}};
}

CallOutcome outcome_of(const Error& error, Duration took, Duration slow_after) {
  CallOutcome outcome;
  outcome.error = {ErrorKind::kPlatformUnavailable,
                   "platform: " + error.message, error.execution};
  switch (error.kind) {
    case ErrorKind::kProtocolError:
      outcome.result = CallResult::kMalformed;
      outcome.health = Health::kBad;
      outcome.error.kind = ErrorKind::kProtocolError;
      break;
    case ErrorKind::kDeadlineExceeded:
      outcome.result = CallResult::kLost;
      outcome.health = took < slow_after ? Health::kSilent : Health::kBad;
      break;
    default:
      outcome.result = error.execution == Execution::kNotRun
                           ? CallResult::kUnavailable
                           : CallResult::kLost;
      outcome.health = Health::kBad;
  }
  return outcome;
}

}  // namespace ibismux::store
