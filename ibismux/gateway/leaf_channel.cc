#include "ibismux/gateway/leaf_channel.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "ibismux/gateway/call_group.h"
#include "ibismux/gateway/refusal.h"
#include "ibismux/http/await_timer.h"

namespace ibismux::gateway {

namespace {

using backend::LeafSignal;

/// A stand-by's connections close after this long without a call.
constexpr Duration kLinger = std::chrono::seconds(10);
/// How long after its deadline a leaf may take to stop a call by itself.
constexpr Duration kStopPatience = std::chrono::milliseconds(50);

}  // namespace

LeafChannel::LeafChannel(boost::asio::io_context& loop,
                         std::shared_ptr<GatewayContext> shared,
                         std::shared_ptr<CallIndex> calls)
    : loop(loop),
      context(std::move(shared)),
      calls(std::move(calls)),
      queue(this->context->settings.queued_per_slot),
      capacity(this->context->settings, this->context->ejections),
      pool(std::make_shared<LeafPool>(loop, this->context)),
      timer(loop) {}

void LeafChannel::configure(const release::BackendServer& fresh,
                            std::size_t share,
                            bool warm) {
  const TimePoint now = Clock::now();
  this->pool->on_change([weak = this->weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->pump();
    }
  });
  this->leaf = fresh;
  this->keep_warm = warm;
  this->retired = false;
  this->capacity.declare(fresh.slots, fresh.leaving);
  this->queue.resize(this->context->settings.queued_per_slot *
                     std::max<std::size_t>(fresh.slots, 1));
  this->pool->configure(fresh, share);
  this->update_wanted();
  this->report_limit();
  if (this->capacity.state(now) == LeafState::kLeaving) {
    this->refuse_all(RefuseReason::kLeaving, now);
  }
}

void LeafChannel::retire() {
  this->retired = true;
  this->refuse_all(RefuseReason::kNoShare, Clock::now());
  this->pool->retire();
  this->report_limit();
}

void LeafChannel::submit(QueuedCall call) {
  const TimePoint now = Clock::now();
  call.enqueued = now;
  if (!this->calls->emplace(call.id, this).second) {
    // The first call with this id still waits or runs, and gets its answer.
    this->context->metrics.dropped(DropReason::kDuplicate);
    call.group->refuse(call.id, make_error(ErrorKind::kInternal,
                                           "a call with this id runs already"));
    return;
  }
  if (const auto reason = this->closed_for(now)) {
    this->refuse(call, *reason, now);
    return;
  }
  this->last_demand = now;
  LeafQueue::Offer offer = this->queue.offer(call, now, this->capacity.pace(),
                                             this->capacity.service());
  if (offer.verdict != LeafQueue::Verdict::kQueued) {
    this->refuse(call,
                 offer.verdict == LeafQueue::Verdict::kFull
                     ? RefuseReason::kFull
                     : RefuseReason::kHopeless,
                 now);
    return;
  }
  if (offer.evicted) {
    this->refuse(*offer.evicted, RefuseReason::kEvicted, now);
  }
  this->pump();
}

void LeafChannel::cancel(const CallId& id) {
  const TimePoint now = Clock::now();
  if (const auto queued = this->queue.remove(id)) {
    this->refuse(*queued, RefuseReason::kCancelled, now);
    return;
  }
  RunningCall* call = this->running.find(id);
  if (call == nullptr || call->group->batch().kind != LeafCallKind::kQuery) {
    return;
  }
  this->stop(id, *call);
  if (!call->answered) {
    this->answer(id, *call,
                 fail(ErrorKind::kCancelled,
                      this->leaf.name + ": cancelled while it ran"));
  }
}

void LeafChannel::tick(TimePoint now) {
  this->capacity.tick(now);
  this->stop_overdue(now);
  this->pool->trim();
  this->see_restart(now);
  this->update_wanted();
  this->pool->trim();
  this->report_limit();
  this->pump();
}

void LeafChannel::report_limit() {
  const double now = this->retired ? 0 : this->capacity.limit();
  this->context->metrics.limit_changed(now - this->reported_limit);
  this->reported_limit = now;
}

void LeafChannel::see_restart(TimePoint now) {
  if (!this->pool->take_reopened()) {
    return;
  }
  const bool ready =
      this->pool->health().state != backend::LeafHealth::State::kDraining;
  this->capacity.on_restart(ready, now);
}

bool LeafChannel::retired_and_finished() const noexcept {
  return this->retired && this->queue.empty() && this->running.empty() &&
         this->pool->connections() == 0;
}

LeafStatus LeafChannel::status(TimePoint now) const {
  LeafStatus status;
  status.leaf = this->leaf.name;
  status.state = this->retired               ? LeafState::kRetired
                 : this->pool->unreachable() ? LeafState::kUnreachable
                                             : this->capacity.state(now);
  status.limit = this->capacity.limit();
  status.in_flight = this->running.size();
  status.queued = this->queue.size();
  status.connections = this->pool->connections();
  status.share = this->pool->share();
  return status;
}

std::optional<RefuseReason> LeafChannel::closed_for(TimePoint now) const {
  if (this->retired) {
    return RefuseReason::kNoShare;
  }
  const LeafState state = this->capacity.state(now);
  if (state == LeafState::kLeaving) {
    return RefuseReason::kLeaving;
  }
  if (state == LeafState::kEjected) {
    return RefuseReason::kEjected;
  }
  if (this->pool->unreachable()) {
    return RefuseReason::kUnreachable;
  }
  return std::nullopt;
}

void LeafChannel::refuse(const QueuedCall& call,
                         RefuseReason reason,
                         TimePoint now) {
  Error error = refusal(reason, this->leaf.name);
  if (error.kind == ErrorKind::kOverloaded) {
    error.retry_after = this->capacity.retry_after(this->queue.size());
  }
  this->context->metrics.refused(reason);
  this->calls->erase(call.id);
  call.group->refuse(call.id, std::move(error), now - call.enqueued);
}

void LeafChannel::refuse_all(RefuseReason reason, TimePoint now) {
  for (const QueuedCall& call : this->queue.take_all()) {
    this->refuse(call, reason, now);
  }
}

void LeafChannel::pump() {
  const TimePoint now = Clock::now();
  for (const QueuedCall& call : this->queue.take_expired(now)) {
    this->refuse(call, RefuseReason::kExpired, now);
  }
  if (const auto reason = this->closed_for(now)) {
    this->refuse_all(*reason, now);
  }
  while (!this->queue.empty() &&
         this->running.size() < this->capacity.most_running(now)) {
    LeafPool::Connection connection = this->pool->take();
    if (!connection) {
      break;
    }
    this->start(*this->queue.pop(), std::move(connection), now);
  }
  this->update_wanted();
  this->arm_timer();
}

void LeafChannel::start(QueuedCall call,
                        LeafPool::Connection connection,
                        TimePoint now) {
  const LeafCallBatch& batch = call.group->batch();
  backend::LeafRequest request;
  request.id = call.id;
  request.idempotent = batch.kind == LeafCallKind::kQuery;
  request.snapshot = batch.snapshot;
  request.shard = std::move(call.shard);
  request.priority = call.priority;
  request.deadline = call.deadline;
  request.key = batch.key;
  request.body = batch.body;
  RunningCall entry{std::move(call.group), call.deadline, now,
                    now - call.enqueued};
  this->context->metrics.queued(entry.queue_time);
  this->context->metrics.in_flight_changed(1);
  this->running.add(call.id, std::move(entry));
  boost::asio::co_spawn(this->loop,
                        this->run(this->shared_from_this(),
                                  std::move(connection), std::move(request)),
                        boost::asio::detached);
}

Task<void> LeafChannel::run(std::shared_ptr<LeafChannel> /*self*/,
                            LeafPool::Connection connection,
                            backend::LeafRequest request) {
  const CallId id = request.id;
  const TimePoint give_up =
      request.deadline + this->context->settings.stop_grace;
  backend::LeafReply reply =
      co_await connection->call(std::move(request), give_up);
  this->pool->give(std::move(connection));
  this->finish(id, std::move(reply));
}

void LeafChannel::finish(const CallId& id, backend::LeafReply reply) {
  RunningCall entry = this->running.remove(id);
  this->context->metrics.in_flight_changed(-1);

  const TimePoint now = Clock::now();
  const Duration leaf_time = now - entry.started;
  this->context->metrics.called(reply.signal, leaf_time);
  this->learn(reply, leaf_time, now);
  if (!entry.answered) {
    this->answer(id, entry, std::move(reply.body));
  } else if (reply.body && !entry.cancelled) {
    this->context->metrics.dropped(DropReason::kLate);
  }
  this->calls->erase(id);
  this->pump();
}

void LeafChannel::learn(const backend::LeafReply& reply,
                        Duration leaf_time,
                        TimePoint now) {
  if (reply.signal == LeafSignal::kForeign) {
    this->context->metrics.dropped(DropReason::kForeign);
  } else if (reply.signal == LeafSignal::kLost) {
    this->context->metrics.dropped(DropReason::kTruncated);
  }
  if (this->capacity.on_reply(reply, leaf_time, this->running.size() + 1,
                              now)) {
    this->context->metrics.ejected();
  }
}

void LeafChannel::answer(const CallId& id,
                         RunningCall& call,
                         Result<std::string> body) {
  call.answered = true;
  call.group->answer(LeafAnswer{id, std::move(body),
                                Clock::now() - call.started, call.queue_time});
}

void LeafChannel::stop(const CallId& id, RunningCall& call) {
  if (call.cancelled || call.group->batch().kind != LeafCallKind::kQuery) {
    return;
  }
  call.cancelled = true;
  this->pool->cancel(id);
}

void LeafChannel::pass_deadlines(TimePoint now) {
  for (const CallId& id : this->running.pass_deadlines(now)) {
    RunningCall& call = *this->running.find(id);
    if (!call.answered) {
      const bool query = call.group->batch().kind == LeafCallKind::kQuery;
      this->answer(id, call,
                   fail(query ? ErrorKind::kDeadlineExceeded
                              : ErrorKind::kOutcomeUnknown,
                        this->leaf.name + ": no answer by the deadline"));
    }
  }
}

void LeafChannel::stop_overdue(TimePoint now) {
  // Leafs know the deadline too, so that most need no word.
  for (const CallId& id : this->running.take_overdue(now - kStopPatience)) {
    this->stop(id, *this->running.find(id));
  }
}

void LeafChannel::arm_timer() {
  std::optional<TimePoint> next = this->queue.next_deadline();
  if (const auto first = this->running.next_deadline()) {
    next = next ? std::min(*next, *first) : first;
  }
  // Deadlines mostly rise, so the timer is moved only where one comes earlier.
  if (!next || (this->armed_for && *this->armed_for <= *next)) {
    return;
  }
  this->armed_for = next;
  this->timer.expires_at(*next);
  http::await_timer(this->timer, this->weak_from_this(),
                    &LeafChannel::on_timer);
}

void LeafChannel::on_timer() {
  this->armed_for.reset();
  this->pass_deadlines(Clock::now());
  this->pump();
}

void LeafChannel::update_wanted() {
  if (this->retired) {
    return;
  }
  const TimePoint now = Clock::now();
  const bool in_use = !this->queue.empty() || !this->running.empty() ||
                      now - this->last_demand < kLinger;
  const LeafState state = this->capacity.state(now);
  if (state == LeafState::kLeaving) {
    // One connection shows when the leaf's process goes; the next is opened
    // only when what it says of itself no longer lags behind its leaving.
    const bool too_early =
        this->pool->lost_all() && !this->capacity.may_return(now);
    this->pool->want(too_early ? 0 : 1);
    return;
  }
  const std::size_t calls =
      std::max(this->capacity.most_running(now), this->running.size());
  this->pool->want(this->keep_warm || in_use ? calls : 0);
}

}  // namespace ibismux::gateway
