#ifndef IBISMUX_DISPATCH_SCATTER_RUN_H_
#define IBISMUX_DISPATCH_SCATTER_RUN_H_

#include "ibismux/dispatch/request_run.h"

namespace ibismux::dispatch {

/// A query over all shards of its route.
///
/// The run ends when all shards have answered; when waiting longer would make
/// the answer late and the route's minimum coverage is reached; or as soon as
/// that coverage cannot be reached any more.
class ScatterRun : public RequestRun {
 public:
  using RequestRun::RequestRun;

 protected:
  [[nodiscard]] Duration excess_wait(TimePoint now) const override;
  [[nodiscard]] coverage::PartUrgency urgency(std::size_t lost) const override;
  [[nodiscard]] bool starts_with_canary(TimePoint now) const override;
  void check_completion(TimePoint now) override;

 private:
  /// The minimum number of shards in an answer.
  [[nodiscard]] std::size_t required_shards() const;
  void finish_merged(std::size_t answered);
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_SCATTER_RUN_H_
