#include "ibismux/dispatch/forward_run.h"

#include <utility>

#include "ibismux/dispatch/service_group.h"

namespace ibismux::dispatch {

Duration ForwardRun::excess_wait(TimePoint now) const {
  return this->excess_wait_at(this->parts().front()->service(), now);
}

void ForwardRun::settle(TimePoint now) {
  PartCall& part = *this->parts().front();
  if (part.state() == PartCall::State::kAnswered) {
    this->finish(Answer(std::move(part.answer())));
  } else if (part.state() == PartCall::State::kFailed) {
    this->settle_failed(part);
  } else if (this->past_final(now)) {
    this->fail_run(ErrorKind::kDeadlineExceeded, "no answer in time");
  }
}

void ForwardRun::settle_failed(PartCall& part) {
  // The leaf's own failure says more than one of ours.
  if (part.failure()) {
    this->finish(Answer(*std::move(part.failure())));
    return;
  }
  const ErrorKind kind = part.certainly_not_run() ? ErrorKind::kOverloaded
                                                  : ErrorKind::kOutcomeUnknown;
  this->fail_run(kind, part.error().message);
}

}  // namespace ibismux::dispatch
