#include "ibismux/dispatch/part_call.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "ibismux/dispatch/dispatch_metrics.h"
#include "ibismux/dispatch/dispatch_policy.h"
#include "ibismux/dispatch/service_group.h"
#include "ibismux/eventlog/event_log.h"
#include "ibismux/routing/route.h"

namespace ibismux::dispatch {

namespace {

// How long dialing may take before the wait is attributed to the leaf: twice
// the usual time to open a connection to a leaf.
constexpr std::chrono::milliseconds kDialAllowance{12};

// Each refusal by a leaf costs that leaf an arrival, so a request that four
// leafs have refused is returned to the caller to be retried later.
constexpr std::uint32_t kMaxRefusals = 4;

}  // namespace

PartCall::PartCall(std::shared_ptr<const RequestContext> context,
                   std::shared_ptr<ServiceGroup> group,
                   std::function<void()> on_change)
    : context(std::move(context)),
      group(std::move(group)),
      on_change(std::move(on_change)) {}

void PartCall::start() {
  this->current_state = State::kOpen;
  this->group->record_first_attempt();
  this->starting = true;
  if (!this->begin()) {
    this->wait_for_room([this] { return this->begin(); });
  }
  this->starting = false;
}

bool PartCall::begin() {
  return this->send_first() || this->current_state != State::kOpen;
}

void PartCall::wait_for_room(std::function<bool()> start) {
  this->place = this->group->queue().enqueue(
      this->context->priority, this->context->share,
      [weak = this->weak_from_this(), start = std::move(start)] {
        const auto self = weak.lock();
        if (!self || !self->place) {
          return true;
        }
        const bool begun = start();
        if (begun) {
          self->place.reset();
        }
        return begun;
      },
      Clock::now());
  this->group->schedule_queue_retry();
}

void PartCall::leave_queue() {
  if (this->place) {
    this->group->queue().remove(*this->place);
    this->place.reset();
  }
}

SelectionCriteria PartCall::criteria(bool is_repeat) const {
  return {.typical_latency = this->context->typical->value(),
          .objective = this->context->route->objective,
          .tried = &this->tried_leafs,
          .zones = this->context->zones(),
          .is_repeat = is_repeat,
          .fastest = is_repeat && this->urgency.fastest_repeat};
}

std::shared_ptr<Leaf> PartCall::choose(bool is_repeat) const {
  return this->group->choose(this->criteria(is_repeat), Clock::now());
}

void PartCall::resume() {
  if (!this->deferred_start || this->current_state != State::kOpen ||
      this->stopped || !this->context->crashes->may_send()) {
    return;
  }
  const auto start = std::exchange(this->deferred_start, nullptr);
  if (!start()) {
    this->wait_for_room(start);
  }
}

bool PartCall::send_first() {
  if (!this->context->crashes->may_send()) {
    this->defer([this] { return this->begin(); });
    return true;
  }
  if (!this->group->can_serve(this->context->zones())) {
    this->last_error = make_error(ErrorKind::kLeafUnavailable,
                                  "no leaf of " + this->group->name());
    this->finish(State::kFailed);
    return false;
  }
  auto leaf = this->choose(false);
  if (!leaf) {
    return false;
  }
  this->send_to(leaf, std::nullopt);
  return true;
}

bool PartCall::may_repeat() const noexcept {
  return this->current_state == State::kOpen && !this->stopped &&
         this->sends - this->sends_not_run < this->context->attempt_limit() &&
         this->sends_not_run < kMaxRefusals;
}

void PartCall::repeat(RepeatCause cause) {
  if (!this->context->route->is_idempotent() || !this->may_repeat() ||
      this->open_attempts.empty() ||
      this->open_attempts.size() >= this->urgency.max_open_calls ||
      this->sends == 0 || !this->context->crashes->may_send()) {
    return;
  }
  auto leaf = this->choose(true);
  if (!leaf) {
    return;
  }
  if (!this->group->take_repeat()) {
    this->context->metrics->repeat_refused(cause);
    return;
  }
  this->context->metrics->repeated(cause);
  this->log_event("request_hedged", *leaf, to_string(cause));
  this->send_to(leaf, cause);
}

std::optional<TimePoint> PartCall::waiting_since() const {
  // A second leaf that waits as well is a sign for others, even if the route
  // allows no second call.
  const std::uint32_t max_calls =
      std::min(this->urgency.max_open_calls,
               std::max<std::uint32_t>(2, this->context->attempt_limit()));
  if (this->current_state != State::kOpen || this->open_attempts.empty() ||
      this->hedges + 1 >= max_calls) {
    return std::nullopt;
  }
  const Attempt& last = this->open_attempts.back();
  return std::max(this->hedged_at, last.active->sent_at.value_or(
                                       last.started_at + kDialAllowance));
}

void PartCall::hedge() {
  ++this->hedges;
  this->hedged_at = Clock::now();
  if (this->context->policy->hedge) {
    this->repeat(RepeatCause::kSlow);
  }
}

void PartCall::send_to(const std::shared_ptr<Leaf>& leaf,
                       std::optional<RepeatCause> cause) {
  this->context->metrics->sent(
      cause, this->group->zone_exit(*leaf, this->criteria(cause.has_value()),
                                    Clock::now()));
  this->context->crashes->on_send();
  this->tried_leafs.push_back(leaf);
  ++this->sends;
  auto active = std::make_shared<ActiveCall>();
  this->open_attempts.push_back({leaf, active, Clock::now()});
  auto call = std::make_shared<LeafCall>();
  call->message = this->context->request.message;
  call->request_id = this->context->request.id;
  call->leaf_id = leaf->entry().run.id;
  call->deadline = this->context->final_deadline;
  call->customer = this->context->request.customer;
  const std::weak_ptr<PartCall> weak = this->weak_from_this();
  leaf->start(
      {.call = std::move(call),
       .active = active,
       .typical_latency = this->context->typical->value(),
       .unloaded = this->context->typical->unloaded(),
       .on_unresponsive =
           [weak] {
             if (const auto self = weak.lock()) {
               self->repeat(RepeatCause::kUnresponsive);
             }
           },
       .crashes = this->context->crashes,
       .on_end = [self = this->shared_from_this(), active](
                     CallEnd end) { self->on_end(active, std::move(end)); }});
}

void PartCall::on_end(const std::shared_ptr<ActiveCall>& active, CallEnd end) {
  const auto ended = std::find_if(
      this->open_attempts.begin(), this->open_attempts.end(),
      [&](const Attempt& attempt) { return attempt.active == active; });
  const TimePoint now = Clock::now();
  const Duration took = now - ended->started_at;
  const Error* error = end.reply ? nullptr : &end.reply.error();
  this->context->metrics->call_ended(error, took);
  if (end.reply && end.reply->has_unreadable_load) {
    this->context->metrics->load_unreadable();
  }
  if (end.reply && end.reply->kind == LeafReply::Kind::kSuccess) {
    this->context->typical->record(took, now);
    this->group->record_call_time(took);
  }
  const std::shared_ptr<Leaf> leaf = ended->leaf;
  this->open_attempts.erase(ended);
  this->update_crash_watch(end, *leaf);
  if (this->current_state == State::kOpen) {
    this->handle_end(std::move(end));
  }
  this->context->crashes->release_waiting();
}

void PartCall::update_crash_watch(const CallEnd& end, const Leaf& leaf) {
  using End = quarantine::CrashWatch::CallEnd;
  const bool was_run =
      end.reply && (end.reply->kind == LeafReply::Kind::kSuccess ||
                    end.reply->kind == LeafReply::Kind::kFailure);
  const End what = was_run          ? End::kAnswered
                   : end.leaf_ended ? End::kLeafEnded
                                    : End::kOther;
  if (end.leaf_ended) {
    this->context->metrics->leaf_ended();
  }
  if (this->context->crashes->on_end(what, to_string(leaf.entry().run))) {
    this->log_event(was_run ? "request_cleared" : "leaf_ended_under_request",
                    leaf, to_string(this->context->crashes->state()));
  }
}

void PartCall::handle_end(CallEnd end) {
  if (end.reply) {
    this->on_reply(*std::move(end.reply));
  } else {
    this->on_error(std::move(end.reply.error()), end.sent);
  }
}

void PartCall::on_reply(LeafReply reply) {
  switch (reply.kind) {
    case LeafReply::Kind::kSuccess:
      this->success = std::move(reply.answer);
      this->finish(State::kAnswered);
      return;
    case LeafReply::Kind::kFailure:
      this->log_event("leaf_failed", *this->tried_leafs.back(),
                      std::to_string(reply.answer.status));
      this->failure_answer = std::move(reply.answer);
      this->retry(RepeatCause::kFailed,
                  make_error(ErrorKind::kLeafUnavailable, "the leaf failed"),
                  true);
      return;
    case LeafReply::Kind::kNotRun:
    case LeafReply::Kind::kOtherInstance:
      ++this->sends_not_run;
      this->retry(RepeatCause::kNotRun,
                  make_error(ErrorKind::kOverloaded, "leafs have no room"),
                  true);
      return;
  }
}

void PartCall::on_error(Error error, bool sent) {
  this->log_event("leaf_call_lost", *this->tried_leafs.back(), error.message);
  if (!sent) {
    ++this->sends_not_run;
  }
  if (this->stopped) {
    this->finish(State::kFailed);
    return;
  }
  this->retry(sent ? RepeatCause::kFailed : RepeatCause::kNotRun,
              std::move(error), sent);
}

void PartCall::retry(RepeatCause cause, Error error, bool sent) {
  this->last_error = std::move(error);
  // Under load every leaf may be at its limit of concurrent calls. If the part
  // failed at once, it would be missing from the answer although a leaf becomes
  // free shortly afterwards.
  if (!this->send_again_or_fail(cause, sent) && !this->place) {
    this->wait_for_room(
        [this, cause, sent] { return this->send_again_or_fail(cause, sent); });
  }
}

bool PartCall::send_again_or_fail(RepeatCause cause, bool sent) {
  const ResendResult result = this->send_again(cause, sent);
  if (result == ResendResult::kRejected && this->open_attempts.empty()) {
    this->finish(State::kFailed);
  }
  return result != ResendResult::kNoRoom;
}

PartCall::ResendResult PartCall::send_again(RepeatCause cause, bool sent) {
  const bool safe =
      this->context->route->is_idempotent() || cause == RepeatCause::kNotRun;
  if (!safe || !this->may_repeat() ||
      Clock::now() >= this->context->final_deadline) {
    return ResendResult::kRejected;
  }
  if (!this->context->crashes->may_send()) {
    this->defer(
        [this, cause, sent] { return this->send_again_or_fail(cause, sent); });
    return ResendResult::kDeferred;
  }
  const auto leaf = this->choose(false);
  if (!leaf) {
    return this->group->can_serve(this->context->zones(), this->tried_leafs)
               ? ResendResult::kNoRoom
               : ResendResult::kRejected;
  }
  // A call of which no byte was sent has added no load to a leaf, so its repeat
  // does not use the budget.
  if (sent && !this->group->take_repeat()) {
    this->context->metrics->repeat_refused(cause);
    return ResendResult::kRejected;
  }
  this->context->metrics->repeated(cause);
  this->log_event("request_retried", *leaf, to_string(cause));
  this->send_to(leaf, cause);
  return ResendResult::kSent;
}

void PartCall::stop_sending() {
  this->stopped = true;
  this->leave_queue();
}

void PartCall::cancel_calls() {
  this->stopped = true;
  const auto attempts = this->open_attempts;
  for (const Attempt& attempt : attempts) {
    attempt.active->cancel();
  }
}

void PartCall::finish(State state) {
  this->current_state = state;
  this->leave_queue();
  if (!this->starting) {
    this->on_change();
  }
}

void PartCall::log_event(std::string_view event,
                         const Leaf& leaf,
                         std::string_view detail) {
  eventlog::Event line =
      this->context->log->event(eventlog::Weight::kFailure, event);
  if (!line.enabled()) {
    return;
  }
  const TimePoint now = Clock::now();
  line.with("request", this->context->request.id)
      .with("digest", this->context->digest.text())
      .with("service", this->group->name())
      .with("leaf", leaf.entry().run.id)
      .with("detail", detail)
      .with("sends", this->sends)
      .with("at_ms", now - this->context->request.received)
      .with("left_ms", remaining(this->context->final_deadline, now))
      .with("usual_ms", this->context->typical->value())
      .with("ratio", leaf.estimate().ratio(now))
      .with("repeats_left", this->group->repeats_left());
}

}  // namespace ibismux::dispatch
