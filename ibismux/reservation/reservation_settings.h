#ifndef IBISMUX_RESERVATION_RESERVATION_SETTINGS_H_
#define IBISMUX_RESERVATION_RESERVATION_SETTINGS_H_

#include <chrono>
#include <cstddef>

namespace ibismux::reservation {

/// How claims are grouped, kept and bounded. docs/design/reservations.md gives
/// the measurements behind the defaults.
struct ReservationSettings {
  /// @name Group commit of one bucket
  /// @{

  /// A bucket commits once in this time on average...
  std::chrono::milliseconds linger{100};
  /// ...and so often at once after a quiet time, without waiting.
  int burst = 4;
  /// So many waiting claims don't wait for that...
  std::size_t full_batch = 16;
  /// ...but only for this since the last commit, which bounds the platform's
  /// load: `kBuckets` over it.
  std::chrono::milliseconds least_interval{25};
  /// Outcomes that no claim comes along with are written after this.
  std::chrono::milliseconds outcome_linger{250};
  std::size_t most_batch = 512;
  /// "Still running" is answered from memory that is not older than this.
  std::chrono::milliseconds fresh{200};
  /// Larger heads are moved to a segment.
  std::size_t most_head_bytes = 64 * 1024;
  /// Longer results are not kept: a repeat says that it ran, without them.
  std::size_t most_result_bytes = 4 * 1024;
  /// @}

  /// A key is remembered for at least this long after its first use. Must be
  /// far longer than any deadline.
  std::chrono::seconds retention = std::chrono::hours(24);
  /// By how much the clocks of two hosts may differ.
  std::chrono::seconds clock_slack = std::chrono::hours(1);

  /// How long another daemon is given to commit before the next is tried.
  std::chrono::milliseconds owner_patience{400};
  /// Claims of this daemon that run or whose outcome is not yet recorded.
  std::size_t most_live_claims = 20'000;

  /// @name Tickets
  /// @{
  /// A ticket can't be run later than this after its issue.
  std::chrono::seconds ticket_life = std::chrono::hours(1);
  std::size_t most_tickets = 100'000;
  /// @}
};

}  // namespace ibismux::reservation

#endif  // IBISMUX_RESERVATION_RESERVATION_SETTINGS_H_
