#ifndef IBISMUX_QUARANTINE_QUARANTINE_RECORD_H_
#define IBISMUX_QUARANTINE_QUARANTINE_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/base/unix_time.h"

namespace ibismux::quarantine {

/// Whether a request may be sent to leafs.
enum class QuarantineState : unsigned char {
  kClear,        ///< No leaf has ended while running it.
  kSuspect,      ///< Leafs have ended: sent to one at a time.
  kQuarantined,  ///< Not sent to any leaf.
};

[[nodiscard]] constexpr std::string_view to_string(
    QuarantineState state) noexcept {
  constexpr std::string_view kNames[] = {"clear", "suspect", "quarantined"};
  return kNames[static_cast<std::size_t>(state)];
}

/// The evidence against a request during which leafs have ended. Daemons
/// combine their evidence with `merge()`, whose result does not depend on the
/// order of the merges. Not thread safe.
struct QuarantineRecord {
  /// Number of leafs that must end one after the other until a request is
  /// considered the cause. Leafs that end at the same time count once, because
  /// a power failure in a zone ends several leafs of one query.
  static constexpr std::size_t kLeafsToQuarantine = 3;

  /// Runs of leafs that ended while running the request; sorted, at most
  /// `kLeafsToQuarantine`.
  std::vector<std::string> leaf_runs;
  /// How often the request was quarantined.
  std::uint32_t times_held = 0;
  UnixTime held_until{0};

  [[nodiscard]] bool operator==(const QuarantineRecord&) const = default;

  [[nodiscard]] QuarantineState state(UnixTime now) const noexcept;

  /// Records that a leaf has ended while running the request. A request that
  /// had been released from quarantine is quarantined again at once, for a
  /// year.
  void add(const std::string& leaf_run, UnixTime now);

  /// Adds the evidence of another daemon.
  void merge(const QuarantineRecord& other, UnixTime now);

 private:
  void insert(const std::string& leaf_run);
  void start_quarantine(UnixTime now);
};

/// @name Encoding as the value of an object in the store. Thread safe.
/// @{
[[nodiscard]] std::string encode(const QuarantineRecord& record);
/// Errors: kProtocolError.
[[nodiscard]] Result<QuarantineRecord> decode_quarantine_record(
    std::string_view value);
/// @}

}  // namespace ibismux::quarantine

#endif  // IBISMUX_QUARANTINE_QUARANTINE_RECORD_H_
