#include "ibismux/dispatch/forward_run.h"

#include <utility>

#include "ibismux/dispatch/service_group.h"

namespace ibismux::dispatch {

Duration ForwardRun::excess_wait(TimePoint now) const {
  return this->excess_wait_at(this->parts().front()->service(), now);
}

void ForwardRun::check_completion(TimePoint now) {
  PartCall& part = *this->parts().front();
  if (part.state() == PartCall::State::kAnswered) {
    this->finish(Answer(std::move(part.answer())));
  } else if (part.state() == PartCall::State::kFailed) {
    this->finish_failed(part, now);
  } else if (this->is_past_deadline(now)) {
    this->fail_past_deadline("no answer");
  }
}

void ForwardRun::finish_failed(PartCall& part, TimePoint now) {
  // The leaf's own error response is more specific than an error of this
  // daemon.
  if (part.failure()) {
    this->finish(Answer(*std::move(part.failure())));
    return;
  }
  if (part.certainly_not_run()) {
    this->fail_run(ErrorKind::kOverloaded, part.error().message);
  } else if (this->is_past_deadline(now)) {
    // The call has the same deadline as the request, so an expired call may be
    // reported before the request itself is found to have expired.
    this->fail_past_deadline("no answer");
  } else {
    this->fail_run(ErrorKind::kOutcomeUnknown, part.error().message);
  }
}

}  // namespace ibismux::dispatch
