#ifndef IBISMUX_RESERVATION_OUTCOME_RECORDER_H_
#define IBISMUX_RESERVATION_OUTCOME_RECORDER_H_

#include <atomic>
#include <memory>

#include "ibismux/base/forward.h"
#include "ibismux/base/task.h"
#include "ibismux/reservation/forward.h"
#include "ibismux/reservation/key_record.h"

namespace ibismux::reservation {

/// Sees to it that the outcome of each claim of this daemon is recorded,
/// however long the platform is away; until then the claim stays live.
///
/// Thread safe.
class OutcomeRecorder : public std::enable_shared_from_this<OutcomeRecorder> {
 public:
  /// @param pool Outlives every use.
  OutcomeRecorder(IoPool& pool,
                  std::shared_ptr<ClaimClient> client,
                  std::shared_ptr<LiveClaims> live);

  /// Records `outcome` in the background.
  void record(KeyRecord outcome);

  /// What is not yet recorded stays so.
  void stop() noexcept { this->stopping = true; }

 private:
  static Task<> keep_trying(std::shared_ptr<OutcomeRecorder> self,
                            KeyRecord outcome);

  IoPool& pool;
  const std::shared_ptr<ClaimClient> client;
  const std::shared_ptr<LiveClaims> live;
  std::atomic<bool> stopping{false};
};

}  // namespace ibismux::reservation

#endif  // IBISMUX_RESERVATION_OUTCOME_RECORDER_H_
