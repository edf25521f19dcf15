#ifndef IBISMUX_DISPATCH_FORWARD_RUN_H_
#define IBISMUX_DISPATCH_FORWARD_RUN_H_

#include "ibismux/dispatch/request_run.h"

namespace ibismux::dispatch {

/// A request that one leaf answers, passed on and back whole.
class ForwardRun : public RequestRun {
 public:
  using RequestRun::RequestRun;

 protected:
  [[nodiscard]] Duration excess_wait(TimePoint now) const override;
  void settle(TimePoint now) override;

 private:
  void settle_failed(PartCall& part, TimePoint now);
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_FORWARD_RUN_H_
