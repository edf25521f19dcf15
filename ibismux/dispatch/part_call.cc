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

// What dialling a leaf may take before its wait counts as the leaf's: twice
// what leafs take for a new connection.
constexpr std::chrono::milliseconds kDialAllowance{12};

// Refusals by leafs cost an arrival each; a request that four leafs have
// turned away is told to come back.
constexpr std::uint32_t kMostRefusals = 4;

}  // namespace

PartCall::PartCall(std::shared_ptr<const RequestContext> context,
                   std::shared_ptr<ServiceGroup> group,
                   std::function<void()> on_change)
    : context(std::move(context)),
      group(std::move(group)),
      on_change(std::move(on_change)) {}

void PartCall::start() {
  this->current = State::kOpen;
  this->group->count_first();
  this->starting = true;
  if (!this->begin()) {
    this->wait_for_room([this] { return this->begin(); });
  }
  this->starting = false;
}

bool PartCall::begin() {
  return this->send_first() || this->current != State::kOpen;
}

void PartCall::wait_for_room(std::function<bool()> start) {
  this->place = this->group->queue().enqueue(
      this->context->route->priority,
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
  this->group->await_warmer_leafs();
}

void PartCall::leave_queue() {
  if (this->place) {
    this->group->queue().remove(*this->place);
    this->place.reset();
  }
}

SelectionCriteria PartCall::criteria(bool is_repeat) const {
  return {.usual = this->context->typical->value(),
          .objective = this->context->route->objective,
          .tried = &this->leafs,
          .zones = this->context->zones(),
          .is_repeat = is_repeat};
}

std::shared_ptr<Leaf> PartCall::choose(bool is_repeat) const {
  return this->group->choose(this->criteria(is_repeat), Clock::now());
}

void PartCall::resume() {
  if (!this->held || this->current != State::kOpen || this->abandoned ||
      !this->context->crashes->may_send()) {
    return;
  }
  const auto start = std::exchange(this->held, nullptr);
  if (!start()) {
    this->wait_for_room(start);
  }
}

bool PartCall::send_first() {
  if (!this->context->crashes->may_send()) {
    this->hold([this] { return this->begin(); });
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
  return this->current == State::kOpen && !this->abandoned &&
         this->sends - this->sends_not_run < this->context->most_attempts() &&
         this->sends_not_run < kMostRefusals;
}

void PartCall::repeat(RepeatCause cause) {
  if (!this->context->route->is_idempotent() || !this->may_repeat() ||
      this->active.size() != 1 || this->sends == 0 ||
      !this->context->crashes->may_send()) {
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
  this->note("request_hedged", *leaf, to_string(cause));
  this->send_to(leaf, cause);
}

std::optional<TimePoint> PartCall::waits_since() const {
  if (this->current != State::kOpen || this->hedged || this->active.empty()) {
    return std::nullopt;
  }
  const Attempt& last = this->active.back();
  return last.active->sent_at.value_or(last.began + kDialAllowance);
}

void PartCall::hedge() {
  this->hedged = true;
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
  this->leafs.push_back(leaf);
  ++this->sends;
  auto active = std::make_shared<ActiveCall>();
  this->active.push_back({leaf, active, Clock::now()});
  auto call = std::make_shared<LeafCall>();
  call->message = this->context->request.message;
  call->request_id = this->context->request.id;
  call->leaf_id = leaf->entry().run.id;
  call->deadline = this->context->final_at;
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
      this->active.begin(), this->active.end(),
      [&](const Attempt& attempt) { return attempt.active == active; });
  const TimePoint now = Clock::now();
  const Duration took = now - ended->began;
  const Error* error = end.reply ? nullptr : &end.reply.error();
  this->context->metrics->call_ended(error, took);
  if (end.reply && end.reply->has_unreadable_load) {
    this->context->metrics->load_unreadable();
  }
  if (end.reply && end.reply->kind == LeafReply::Kind::kSuccess) {
    this->context->typical->record(took, now);
    this->group->note_call(took);
  }
  const std::shared_ptr<Leaf> leaf = ended->leaf;
  this->active.erase(ended);
  this->judge_request(end, *leaf);
  if (this->current == State::kOpen) {
    this->take_end(std::move(end));
  }
  this->context->crashes->release_waiting();
}

void PartCall::judge_request(const CallEnd& end, const Leaf& leaf) {
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
    this->note(was_run ? "request_cleared" : "leaf_ended_under_request", leaf,
               to_string(this->context->crashes->standing()));
  }
}

void PartCall::take_end(CallEnd end) {
  if (end.reply) {
    this->on_reply(*std::move(end.reply));
  } else {
    this->on_error(std::move(end.reply.error()), end.sent);
  }
}

void PartCall::on_reply(LeafReply reply) {
  switch (reply.kind) {
    case LeafReply::Kind::kSuccess:
      this->good = std::move(reply.answer);
      this->finish(State::kAnswered);
      return;
    case LeafReply::Kind::kFailure:
      this->note("leaf_failed", *this->leafs.back(),
                 std::to_string(reply.answer.status));
      this->bad = std::move(reply.answer);
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
  this->note("leaf_call_lost", *this->leafs.back(), error.message);
  if (!sent) {
    ++this->sends_not_run;
  }
  if (this->abandoned) {
    this->finish(State::kFailed);
    return;
  }
  this->retry(sent ? RepeatCause::kFailed : RepeatCause::kNotRun,
              std::move(error), sent);
}

void PartCall::retry(RepeatCause cause, Error error, bool sent) {
  this->last_error = std::move(error);
  // Under load each leaf has as many calls as it may have. A part that gave up
  // then would be missing from its answer though a leaf is free in a moment.
  if (!this->send_again_or_fail(cause, sent) && !this->place) {
    this->wait_for_room(
        [this, cause, sent] { return this->send_again_or_fail(cause, sent); });
  }
}

bool PartCall::send_again_or_fail(RepeatCause cause, bool sent) {
  const Again again = this->send_again(cause, sent);
  if (again == Again::kNever && this->active.empty()) {
    this->finish(State::kFailed);
  }
  return again != Again::kNoRoom;
}

PartCall::Again PartCall::send_again(RepeatCause cause, bool sent) {
  const bool safe =
      this->context->route->is_idempotent() || cause == RepeatCause::kNotRun;
  if (!safe || !this->may_repeat() || Clock::now() >= this->context->final_at) {
    return Again::kNever;
  }
  if (!this->context->crashes->may_send()) {
    this->hold(
        [this, cause, sent] { return this->send_again_or_fail(cause, sent); });
    return Again::kHeld;
  }
  const auto leaf = this->choose(false);
  if (!leaf) {
    return this->group->can_serve(this->context->zones(), this->leafs)
               ? Again::kNoRoom
               : Again::kNever;
  }
  // What no byte was sent of arrived nowhere, and costs no budget.
  if (sent && !this->group->take_repeat()) {
    this->context->metrics->repeat_refused(cause);
    return Again::kNever;
  }
  this->context->metrics->repeated(cause);
  this->note("request_retried", *leaf, to_string(cause));
  this->send_to(leaf, cause);
  return Again::kSent;
}

void PartCall::abandon() {
  this->abandoned = true;
  this->leave_queue();
}

void PartCall::give_up() {
  this->abandoned = true;
  const auto late = this->active;
  for (const Attempt& attempt : late) {
    attempt.active->cancel();
  }
}

void PartCall::finish(State state) {
  this->current = state;
  this->leave_queue();
  if (!this->starting) {
    this->on_change();
  }
}

void PartCall::note(std::string_view event,
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
      .with("left_ms", remaining(this->context->final_at, now))
      .with("usual_ms", this->context->typical->value())
      .with("ratio", leaf.estimate().ratio(now))
      .with("repeats_left", this->group->repeats_left());
}

}  // namespace ibismux::dispatch
