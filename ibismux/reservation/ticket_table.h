#ifndef IBISMUX_RESERVATION_TICKET_TABLE_H_
#define IBISMUX_RESERVATION_TICKET_TABLE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

#include "ibismux/reservation/key_record.h"
#include "ibismux/reservation/reservation_settings.h"
#include "ibismux/reservation/ticket.h"

namespace ibismux::reservation {

/// What has become of the tickets that this run of this daemon issued. Only
/// used ones take room, and only as long as they could be used again.
///
/// Not thread safe; free of clocks. Times are milliseconds of the issuer's
/// steady clock.
class TicketTable {
 public:
  /// What an attempt to run a ticket meets.
  enum class Start : unsigned char {
    kStarted,  ///< Run it now; finish() must follow.
    kKnown,    ///< Nothing to run: see `entry`.
    kReused,   ///< Another body was sent under it.
    kExpired,  ///< Too old: it may have run and been forgotten.
    kFull      ///< No room to remember it; it has not run.
  };
  struct Entry {
    /// Claimed while it runs.
    RecordState state = RecordState::kClaimed;
    std::uint64_t body_hash = 0;
    std::string shard;
    std::string result;
  };

  explicit TicketTable(const ReservationSettings& settings) noexcept
      : life(settings.ticket_life),
        most(settings.most_tickets),
        most_result_bytes(settings.most_result_bytes) {}

  /// @param entry Set for kKnown.
  [[nodiscard]] Start start(const Ticket& ticket,
                            std::uint64_t body_hash,
                            std::chrono::milliseconds now,
                            Entry& entry);

  /// The run that `start()` allowed ended. kReleased: it certainly did not run,
  /// so that the ticket may be tried again.
  void finish(const Ticket& ticket, Entry outcome);

  /// Where the ticket stands. One that has not been used is closed by the
  /// question, so that "did not run" stays true; an expired one is unknown.
  [[nodiscard]] Entry ask(const Ticket& ticket, std::chrono::milliseconds now);

  [[nodiscard]] std::size_t size() const noexcept {
    return this->entries.size();
  }

 private:
  [[nodiscard]] bool expired(const Ticket& ticket,
                             std::chrono::milliseconds now) const noexcept;
  void forget(std::chrono::milliseconds now);
  void remember(const Ticket& ticket, Entry entry);

  const std::chrono::milliseconds life;
  const std::size_t most;
  const std::size_t most_result_bytes;
  std::unordered_map<std::uint64_t, Entry> entries;  ///< By serial.
  /// Serials with the time of their issue, about in its order.
  std::deque<std::pair<std::chrono::milliseconds, std::uint64_t>> by_age;
};

}  // namespace ibismux::reservation

#endif  // IBISMUX_RESERVATION_TICKET_TABLE_H_
