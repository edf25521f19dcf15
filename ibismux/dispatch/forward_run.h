#ifndef IBISMUX_DISPATCH_FORWARD_RUN_H_
#define IBISMUX_DISPATCH_FORWARD_RUN_H_

#include "ibismux/dispatch/request_run.h"

namespace ibismux::dispatch {

/// A request that a single leaf answers; request and answer are forwarded
/// unmodified.
class ForwardRun : public RequestRun {
 public:
  using RequestRun::RequestRun;

 protected:
  [[nodiscard]] Duration excess_wait(TimePoint now) const override;
  [[nodiscard]] bool starts_with_canary(TimePoint) const override {
    return false;
  }
  void check_completion(TimePoint now) override;

 private:
  void finish_failed(PartCall& part, TimePoint now);
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_FORWARD_RUN_H_
