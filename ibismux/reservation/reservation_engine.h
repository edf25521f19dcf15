#ifndef IBISMUX_RESERVATION_RESERVATION_ENGINE_H_
#define IBISMUX_RESERVATION_RESERVATION_ENGINE_H_

#include <prometheus/registry.h>

#include <memory>
#include <string>

#include "ibismux/base/error.h"
#include "ibismux/base/forward.h"
#include "ibismux/base/rcu_cell.h"
#include "ibismux/base/task.h"
#include "ibismux/gateway/forward.h"
#include "ibismux/membership/forward.h"
#include "ibismux/peer/forward.h"
#include "ibismux/release/forward.h"
#include "ibismux/reservation/reservation_answer.h"
#include "ibismux/reservation/reservation_request.h"
#include "ibismux/reservation/reservation_settings.h"
#include "ibismux/store/forward.h"

namespace ibismux::reservation {

/// Runs reservations at most once.
///
/// Thread safe; a call completes on the caller's executor.
class ReservationEngine {
 public:
  /// All references outlive the engine. Registers its peer handlers: construct
  /// it before the network starts.
  ReservationEngine(IoPool& pool,
                    const RcuCell<release::Release>& releases,
                    const RcuCell<membership::MembershipView>& members,
                    gateway::LeafCaller& leafs,
                    peer::PeerNetwork& peers,
                    store::ObjectStore& store,
                    prometheus::Registry& metrics,
                    const ReservationSettings& settings = {});
  ~ReservationEngine();

  /// Runs `request` unless its key has run, or may have. An error says kNotRun
  /// only where the leaf certainly did not and will not run it, and no earlier
  /// attempt under its key has run either: where that can't be told, as in an
  /// outage of the platform, it says kUnknown, and coming back with the same
  /// key is safe.
  /// Errors: kNotFound, kNotReady, kOverloaded, kDeadlineExceeded,
  /// kPlatformUnavailable, kOutcomeUnknown, kKeyReused, kLeafUnavailable.
  [[nodiscard]] Task<Result<ReservationAnswer>> reserve(
      ReservationRequest request);

  /// What is known of `key`. Runs nothing. A key that has not been used is
  /// closed by the question, so that kNotRun stays true: an attempt that comes
  /// later gets kKeyReused. Errors: kPlatformUnavailable, kOutcomeUnknown,
  /// kDeadlineExceeded.
  [[nodiscard]] Task<Result<ReservationAnswer>> ask(std::string service,
                                                    std::string key,
                                                    TimePoint deadline);

  /// A key that only this run of this daemon may execute.
  [[nodiscard]] std::string issue_ticket();

  /// For a planned stop, after the last reservation was answered: waits until
  /// every outcome is recorded, or `deadline`. What is not is "unknown" to a
  /// repeat.
  [[nodiscard]] Task<> flush(TimePoint deadline);

 private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace ibismux::reservation

#endif  // IBISMUX_RESERVATION_RESERVATION_ENGINE_H_
