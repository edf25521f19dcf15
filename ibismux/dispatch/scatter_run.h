#ifndef IBISMUX_DISPATCH_SCATTER_RUN_H_
#define IBISMUX_DISPATCH_SCATTER_RUN_H_

#include "ibismux/dispatch/request_run.h"

namespace ibismux::dispatch {

/// A query over all shards of its route.
///
/// It ends with all shards in; or, once waiting longer would make the answer
/// late, with as many as the route demands; or as soon as the shards that may
/// still come can't make up what it demands.
class ScatterRun : public RequestRun {
 public:
  using RequestRun::RequestRun;

 protected:
  [[nodiscard]] Duration excess_wait(TimePoint now) const override;
  void settle(TimePoint now) override;

 private:
  /// How many shards an answer must have.
  [[nodiscard]] std::size_t needed() const;
  void answer(std::size_t answered);
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_SCATTER_RUN_H_
