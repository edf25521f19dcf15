#ifndef IBISMUX_RESERVATION_KEY_RECORD_H_
#define IBISMUX_RESERVATION_KEY_RECORD_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "ibismux/base/ids.h"
#include "ibismux/reservation/claim_id.h"
#include "ibismux/reservation/key_hash.h"

namespace ibismux::reservation {

/// Where a key stands. The numbers are part of the stored format.
///
///     absent ---> claimed ---> run
///       |          |   ^ \---> unknown ---> run
///       |          v   |
///       |        released
///       v          |
///     closed <-----+
enum class RecordState : unsigned char {
  kClaimed = 0,   ///< Its claim alone may run it, and may have.
  kRun = 1,       ///< Ran; final.
  kReleased = 2,  ///< Its claim is dead and nothing ran; may be claimed anew.
  kClosed = 3,    ///< Did not run and never will; final.
  kUnknown = 4,   ///< May have run; nobody runs it any more.
};

/// Whether a key in `state` stays there until it is forgotten.
[[nodiscard]] constexpr bool is_final(RecordState state) noexcept {
  return state == RecordState::kRun || state == RecordState::kClosed;
}

/// What a bucket holds of one key.
struct KeyRecord {
  KeyHash key;
  std::uint64_t body_hash = 0;
  ClaimId claim;         ///< The newest claim; zero where never claimed.
  Incarnation executor;  ///< Who made the claim; empty once final.
  RecordState state = RecordState::kClaimed;
  std::chrono::seconds created{};  ///< Wall-clock time since 1970.
  std::string shard;               ///< Where it ran.
  std::string result;              ///< The leaf's answer.

  [[nodiscard]] bool operator==(const KeyRecord&) const = default;
};

/// About what the record takes in a stored object.
[[nodiscard]] inline std::size_t stored_bytes(const KeyRecord& record) {
  constexpr std::size_t kFixedBytes = 64;
  return kFixedBytes + record.shard.size() + record.result.size();
}

}  // namespace ibismux::reservation

#endif  // IBISMUX_RESERVATION_KEY_RECORD_H_
