#ifndef IBISMUX_RESERVATION_BUCKET_OPERATION_H_
#define IBISMUX_RESERVATION_BUCKET_OPERATION_H_

#include "ibismux/reservation/key_record.h"

namespace ibismux::reservation {

/// The numbers are part of the protocol.
enum class OperationKind : unsigned char {
  kClaim = 0,   ///< Make `record.claim` the one claim of the key.
  kRecord = 1,  ///< `record.claim` ended in `record.state`.
  kClose = 2,   ///< If the key has not been claimed, it never shall be.
};

/// One change of one key. Applying it twice is the same as once.
struct BucketOperation {
  OperationKind kind = OperationKind::kClaim;
  KeyRecord record;
};

/// What an operation came to. The numbers are part of the protocol.
enum class VerdictKind : unsigned char {
  kGranted = 0,  ///< The claim holds the key: its executor may run it.
  kExists = 1,   ///< Nothing done: the key stands as in `record`.
  kApplied = 2,  ///< The outcome is recorded.
  kAbsent = 3,   ///< Nothing done: the key is not known.
};

struct Verdict {
  VerdictKind kind = VerdictKind::kAbsent;
  KeyRecord record;  ///< The key afterwards; unset where absent.
};

}  // namespace ibismux::reservation

#endif  // IBISMUX_RESERVATION_BUCKET_OPERATION_H_
