#ifndef IBISMUX_STORE_CALL_OUTCOME_H_
#define IBISMUX_STORE_CALL_OUTCOME_H_

#include "ibismux/base/error.h"
#include "ibismux/base/time.h"
#include "ibismux/http/message.h"
#include "ibismux/store/call_kind.h"

namespace ibismux::store {

/// What one exchange with the platform came to.
struct CallOutcome {
  /// Whether it counts as a success of the platform, as a failure, or as
  /// neither.
  enum class Health : unsigned char { kGood, kBad, kSilent };

  CallResult result = CallResult::kOk;
  Health health = Health::kGood;
  /// Set for every result but kOk.
  Error error;
};

/// Sorts a response by its status. 200 and 410 are kOk; the caller tells them
/// apart. Thread safe.
///
/// `Execution::kNotRun` stands for "certainly not done": the statuses that
/// docs/PLATFORM.md promises it for, and no other.
/// @param conflict_status What the API answers where a condition doesn't hold.
[[nodiscard]] CallOutcome outcome_of(const http::Response& response,
                                     int conflict_status);

/// Sorts a failed exchange. Thread safe.
/// @param took How long the exchange was given an answer's chance.
/// @param slow_after Silence shorter than this doesn't count as a failure.
[[nodiscard]] CallOutcome outcome_of(const Error& error,
                                     Duration took,
                                     Duration slow_after);

}  // namespace ibismux::store

#endif  // IBISMUX_STORE_CALL_OUTCOME_H_
