#ifndef IBISMUX_RESERVATION_KEYED_RUNNER_H_
#define IBISMUX_RESERVATION_KEYED_RUNNER_H_

#include <memory>
#include <optional>
#include <string>

#include "ibismux/base/error.h"
#include "ibismux/base/ids.h"
#include "ibismux/base/rcu_cell.h"
#include "ibismux/base/task.h"
#include "ibismux/base/time.h"
#include "ibismux/membership/forward.h"
#include "ibismux/reservation/forward.h"
#include "ibismux/reservation/key_record.h"
#include "ibismux/reservation/reservation_answer.h"
#include "ibismux/reservation/reservation_request.h"

namespace ibismux::reservation {

class OutcomeRecorder;

/// Runs reservations that bear an idempotency key: claims the key, runs, and
/// has the outcome recorded.
///
/// Thread safe.
class KeyedRunner {
 public:
  /// References outlive the runner.
  KeyedRunner(Incarnation self,
              const RcuCell<membership::MembershipView>& members,
              LeafRunner& runner,
              std::shared_ptr<ClaimClient> client,
              std::shared_ptr<LiveClaims> live,
              std::shared_ptr<OutcomeRecorder> recorder);

  /// Runs `request` by `deadline`, unless its key has run, or may have.
  [[nodiscard]] Task<Result<ReservationAnswer>> run(ReservationRequest request,
                                                    TimePoint deadline);

  /// Where `key` stands. A key that has not been claimed is closed by the
  /// question, so that "not run" stays true.
  [[nodiscard]] Task<Result<ReservationAnswer>> ask(KeyHash key,
                                                    TimePoint deadline);

 private:
  using Answer = std::optional<ReservationAnswer>;

  Task<Result<Answer>> acquire(KeyRecord claim, TimePoint deadline);
  Task<Result<ReservationAnswer>> execute(ReservationRequest request,
                                          KeyRecord claim,
                                          TimePoint deadline);
  Task<bool> release_if_dead(KeyRecord holder, TimePoint deadline);
  [[nodiscard]] bool is_gone(const Incarnation& executor) const;

  const Incarnation self;
  const RcuCell<membership::MembershipView>& members;
  LeafRunner& runner;
  const std::shared_ptr<ClaimClient> client;
  const std::shared_ptr<LiveClaims> live;
  const std::shared_ptr<OutcomeRecorder> recorder;
};

}  // namespace ibismux::reservation

#endif  // IBISMUX_RESERVATION_KEYED_RUNNER_H_
