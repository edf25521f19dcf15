#ifndef IBISMUX_RESERVATION_LIVE_CLAIMS_H_
#define IBISMUX_RESERVATION_LIVE_CLAIMS_H_

#include <cstddef>
#include <mutex>
#include <optional>
#include <unordered_map>

#include "ibismux/reservation/key_record.h"

namespace ibismux::reservation {

/// The claims that this run of this daemon made and has not finished with: they
/// may still run, or their outcome is not recorded yet. A claim of this daemon
/// that is not here is dead: it will never run again.
///
/// Thread safe.
class LiveClaims {
 public:
  explicit LiveClaims(std::size_t most) noexcept : most(most) {}

  /// @return False where there are too many.
  [[nodiscard]] bool add(const KeyRecord& claim);
  /// The claim is over, and only its record is missing.
  void settle(const KeyRecord& outcome);
  void remove(const ClaimId& claim);

  [[nodiscard]] bool contains(const ClaimId& claim) const;
  /// A claim of `key` or its outcome, if one is here.
  [[nodiscard]] std::optional<KeyRecord> find(const KeyHash& key) const;
  [[nodiscard]] std::size_t size() const;

 private:
  const std::size_t most;
  mutable std::mutex mutex;
  std::unordered_map<ClaimId, KeyRecord> claims;
  std::unordered_map<KeyHash, ClaimId> by_key;  ///< The newest of each.
};

}  // namespace ibismux::reservation

#endif  // IBISMUX_RESERVATION_LIVE_CLAIMS_H_
