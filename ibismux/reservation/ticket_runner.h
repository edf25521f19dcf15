#ifndef IBISMUX_RESERVATION_TICKET_RUNNER_H_
#define IBISMUX_RESERVATION_TICKET_RUNNER_H_

#include <mutex>
#include <string>

#include "ibismux/base/error.h"
#include "ibismux/base/rcu_cell.h"
#include "ibismux/base/task.h"
#include "ibismux/base/time.h"
#include "ibismux/membership/forward.h"
#include "ibismux/peer/forward.h"
#include "ibismux/reservation/forward.h"
#include "ibismux/reservation/reservation_answer.h"
#include "ibismux/reservation/reservation_request.h"
#include "ibismux/reservation/ticket.h"
#include "ibismux/reservation/ticket_table.h"

namespace ibismux::reservation {

/// Issues tickets and runs the reservations that bear them: its own from its
/// memory, those of other daemons by way of their issuers.
///
/// Thread safe.
class TicketRunner {
 public:
  /// References outlive the runner.
  TicketRunner(const ReservationSettings& settings,
               const RcuCell<membership::MembershipView>& members,
               peer::PeerNetwork& peers,
               LeafRunner& runner);

  [[nodiscard]] std::string issue();

  /// Runs `request` by `deadline`, here or at the issuer of `ticket`. Where the
  /// issuer is gone nobody can tell whether it ran, and nobody runs it.
  [[nodiscard]] Task<Result<ReservationAnswer>> run(ReservationRequest request,
                                                    Ticket ticket,
                                                    TimePoint deadline);

  /// Where `ticket` stands; `key` is its text.
  [[nodiscard]] Task<Result<ReservationAnswer>> ask(std::string key,
                                                    Ticket ticket,
                                                    TimePoint deadline);

  /// @name For peers: only what this daemon itself issued
  /// @{
  [[nodiscard]] Task<Result<ReservationAnswer>> run_own(
      ReservationRequest request,
      TimePoint deadline);
  [[nodiscard]] Result<ReservationAnswer> ask_own(const std::string& key);
  /// @}

 private:
  [[nodiscard]] bool is_own(const Ticket& ticket) const;
  TicketTable::Start start(const Ticket& ticket,
                           const ReservationRequest& request,
                           TicketTable::Entry& entry);
  void finish(const Ticket& ticket, const Result<ReservationAnswer>& answer);

  const RcuCell<membership::MembershipView>& members;
  peer::PeerNetwork& peers;
  LeafRunner& runner;
  std::mutex mutex;
  TicketTable table;
};

}  // namespace ibismux::reservation

#endif  // IBISMUX_RESERVATION_TICKET_RUNNER_H_
