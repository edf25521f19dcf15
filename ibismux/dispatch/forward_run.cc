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
    this->settle_failed(part, now);
  } else if (this->past_final(now)) {
    this->fail_run(ErrorKind::kDeadlineExceeded, "no answer in time");
  }
}

void ForwardRun::settle_failed(PartCall& part, TimePoint now) {
  // The leaf's own failure says more than one of ours.
  if (part.failure()) {
    this->finish(Answer(*std::move(part.failure())));
    return;
  }
  if (part.certainly_not_run()) {
    this->fail_run(ErrorKind::kOverloaded, part.error().message);
  } else if (this->past_final(now)) {
    // The call's own deadline passes at the same moment as the request's.
    this->fail_run(ErrorKind::kDeadlineExceeded, "no answer in time");
  } else {
    this->fail_run(ErrorKind::kOutcomeUnknown, part.error().message);
  }
}

}  // namespace ibismux::dispatch
