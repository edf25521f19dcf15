#include "ibismux/dispatch/leaf.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "ibismux/eventlog/event_log.h"
#include "ibismux/http/await_timer.h"
#include "ibismux/quarantine/crash_watch.h"

namespace ibismux::dispatch {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

// Longer than a pause of a leaf and than the delay from a lost first packet on
// a low-latency path; a host without power doesn't answer at all.
constexpr milliseconds kDialTimeout{400};
// A host whose leaf process has ended refuses a connection immediately. This
// check delays the retry of a lost call by at most this long.
constexpr milliseconds kEndCheckTimeout{40};
// A crashed leaf needs at least seconds to restart; the short first pause
// detects a leaf that has only reset its connections.
constexpr milliseconds kMinEjection{100};
constexpr milliseconds kMaxEjection{1000};
// A single call without an answer may be specific to that call.
constexpr std::uint32_t kLossesToEject = 2;
// A call that was cancelled before this multiple of the typical latency tells
// nothing about the leaf.
constexpr int kMinWaitRatio = 4;

}  // namespace

Leaf::Leaf(asio::io_context& loop,
           const LeafConnector& connector,
           eventlog::EventLog& log,
           const DispatchPolicy& policy,
           directory::LeafEntry entry,
           std::function<void()> on_free)
    : loop(loop),
      log(log),
      policy(policy),
      current_entry(std::move(entry)),
      on_free(std::move(on_free)),
      links(connector, std::hash<std::string>()(this->current_entry.run.id)),
      cold_timer(loop.get_executor()) {
  this->cold.set_reported(Clock::now() + this->current_entry.warmup_left);
}

void Leaf::update(const directory::LeafEntry& entry) {
  this->current_entry = entry;
  this->cold.set_reported(Clock::now() + entry.warmup_left);
}

void Leaf::set_warmup(Duration time, ColdShare share) {
  this->warmup = time;
  this->cold.set_share(share);
}

void Leaf::notify_when_allowed() {
  const TimePoint now = Clock::now();
  const TimePoint next_allowed = this->cold.next_allowed(now);
  if (next_allowed <= now || this->retired) {
    return;
  }
  this->cold_timer.expires_at(next_allowed);
  http::await_timer(this->cold_timer, this->weak_from_this(),
                    &Leaf::notify_free);
}

void Leaf::grant_links(LinkGrant grant) {
  this->window.set_max(grant.max_links);
  this->links.grant(grant);
}

void Leaf::retire() {
  this->retired = true;
  this->links.set_closed(true);
}

void Leaf::end_run() {
  this->run_ended = true;
  this->retire();
  // Closing a link ends its call later, on the event loop; `in_flight` doesn't
  // change during the iteration.
  for (const auto& [number, call] : this->in_flight) {
    call.link->close();
  }
}

void Leaf::set_evacuated(bool evacuated) {
  if (std::exchange(this->evacuated, evacuated) == evacuated) {
    return;
  }
  this->links.set_closed(evacuated || this->retired);
  if (!evacuated) {
    // Leafs may have become cold while they got no calls, and the entries that
    // report it may not have arrived yet.
    this->cold.assume_cold(Clock::now() + this->warmup);
  }
}

Duration Leaf::until_retry(TimePoint now) const noexcept {
  if (this->ejected) {
    return remaining(this->retry_at, now);
  }
  return this->cold.is_closed(now) ? this->cold.next_allowed(now) - now
                                   : Duration::zero();
}

void Leaf::start(CallSpec spec) {
  ++this->active_count;
  this->cold.on_call(Clock::now());
  asio::co_spawn(this->loop, run(this->shared_from_this(), std::move(spec)),
                 asio::detached);
}

Task<void> Leaf::run(std::shared_ptr<Leaf> self, CallSpec spec) {
  CallEnd end = co_await exchange(self, spec);
  --self->active_count;
  spec.on_end(std::move(end));
  self->on_free();
}

Task<CallEnd> Leaf::exchange(std::shared_ptr<Leaf> self, CallSpec& spec) {
  Result<LinkPool::Acquired> acquired;
  if (auto idle = self->links.take_idle()) {
    acquired = *std::move(idle);
  } else {
    auto dialled = co_await dial(self, spec.call->deadline);
    acquired = std::move(dialled);
  }
  if (!acquired) {
    co_return CallEnd{tl::unexpected(std::move(acquired.error())), false};
  }
  std::unique_ptr<LeafLink> link = std::move(acquired->link);
  if (spec.active->cancelled) {
    self->links.give_back(std::move(link), false);
    co_return CallEnd{
        fail(ErrorKind::kCancelled, "given up before it was sent"), false};
  }
  spec.active->link = link.get();
  spec.active->sent_at = Clock::now();
  const auto ticket = self->performance.sent(*spec.active->sent_at);
  const std::uint64_t number = self->next_call_number++;
  self->in_flight.emplace(
      number, InFlightCall{link.get(), std::move(spec.on_unresponsive)});
  auto reply = co_await link->call(spec.call);
  self->in_flight.erase(number);
  spec.active->link = nullptr;
  const bool sent = reply || reply.error().execution != Execution::kNotRun;
  CallEnd end{std::move(reply), sent};
  self->record_end(end, ticket, spec, acquired->is_new, Clock::now());
  self->links.give_back(std::move(link), true);
  const bool is_lost = !end.reply && sent && !spec.active->cancelled &&
                       end.reply.error().kind == ErrorKind::kLeafUnavailable;
  if (is_lost && spec.crashes && spec.crashes->needs_loss_cause()) {
    const bool ended = co_await process_has_ended(self);
    end.leaf_ended = ended;
  }
  co_return end;
}

Task<Result<void>> Leaf::open_idle(std::shared_ptr<Leaf> self, Duration time) {
  auto dialled =
      co_await self->links.dial(self->current_entry, Clock::now() + time);
  if (!dialled) {
    co_return tl::unexpected(std::move(dialled.error()));
  }
  self->links.give_back(std::move(dialled->link), false);
  co_return Result<void>();
}

Task<bool> Leaf::process_has_ended(std::shared_ptr<Leaf> self) {
  if (self->run_ended) {
    co_return true;
  }
  const auto opened = co_await open_idle(self, kEndCheckTimeout);
  if (opened || opened.error().kind != ErrorKind::kLeafUnavailable) {
    co_return false;
  }
  self->mark_unreachable("ended under a call: " + opened.error().message);
  co_return true;
}

Task<Result<LinkPool::Acquired>> Leaf::dial(std::shared_ptr<Leaf> self,
                                            TimePoint deadline) {
  const TimePoint latest = Clock::now() + kDialTimeout;
  auto dialled = co_await self->links.dial(self->current_entry,
                                           std::min(deadline, latest));
  const bool ended_early =
      !dialled && dialled.error().kind == ErrorKind::kDeadlineExceeded &&
      deadline < latest;
  if (!dialled && !ended_early) {
    self->mark_unreachable("dial: " + dialled.error().message);
  }
  co_return dialled;
}

Task<void> Leaf::open_ahead(std::shared_ptr<Leaf> self) {
  const auto opened = co_await open_idle(self, kDialTimeout);
  if (!opened) {
    self->mark_unreachable("dial ahead: " + opened.error().message);
    co_return;
  }
  self->on_free();
}

void Leaf::mark_unreachable(std::string_view reason) {
  this->was_unreachable = true;
  this->eject(reason);
}

void Leaf::record_end(const CallEnd& end,
                      LeafEstimate::Ticket ticket,
                      const CallSpec& spec,
                      bool first_use,
                      TimePoint now) {
  if (!end.reply) {
    if (first_use && !spec.active->cancelled &&
        end.reply.error().kind == ErrorKind::kLeafUnavailable) {
      this->record_connection_limit(now);
    }
    this->record_loss(end.reply.error(), ticket, spec, now);
    return;
  }
  this->consecutive_losses = 0;
  this->links.note_answer();
  if (this->policy.use_leaf_load && end.reply->load &&
      end.reply->kind != LeafReply::Kind::kOtherInstance) {
    this->performance.note_load(*end.reply->load, now);
  }
  switch (end.reply->kind) {
    case LeafReply::Kind::kSuccess:
      this->window.on_answer(now - *ticket, spec.unloaded, this->active_count,
                             now);
      this->performance.answered(ticket, spec.typical_latency, now);
      break;
    case LeafReply::Kind::kNotRun:
      this->window.on_rejected(now);
      this->performance.failed(ticket, now);
      break;
    case LeafReply::Kind::kFailure:
      this->performance.failed(ticket, now);
      break;
    case LeafReply::Kind::kOtherInstance:
      this->performance.failed(ticket, now);
      this->log.event(eventlog::Weight::kBelief, "leaf_replaced")
          .with("leaf", this->current_entry.run.id)
          .with("service", this->current_entry.service)
          .with("address", this->current_entry.address)
          .with("request", spec.call->request_id);
      this->retire();
      break;
  }
}

void Leaf::record_loss(const Error& error,
                       LeafEstimate::Ticket ticket,
                       const CallSpec& spec,
                       TimePoint now) {
  const Duration waited = now - *ticket;
  // A call that was cancelled or reached its deadline before the leaf could be
  // expected to answer tells nothing about the leaf. After an outage the last
  // attempts of callers have little time left, and would otherwise get healthy
  // leafs ejected.
  const bool ended_early =
      spec.active->cancelled || error.kind == ErrorKind::kDeadlineExceeded;
  if (ended_early && waited < spec.typical_latency * kMinWaitRatio) {
    this->performance.answered(ticket, spec.typical_latency,
                               *ticket + spec.typical_latency);
    return;
  }
  this->performance.lost(ticket, now);
  if (this->links.is_at_connection_limit(now)) {
    return;
  }
  ++this->consecutive_losses;
  if (this->consecutive_losses >= kLossesToEject) {
    this->eject("no answers: " + error.message);
  }
}

void Leaf::record_connection_limit(TimePoint now) {
  const Duration pause = this->links.note_connection_limit(now);
  this->log.event(eventlog::Weight::kBelief, "leaf_connection_limit")
      .with("leaf", this->current_entry.run.id)
      .with("service", this->current_entry.service)
      .with("open_links", this->links.open())
      .with("pause_ms", pause);
}

void Leaf::report_unresponsive(TimePoint now) {
  this->log.event(eventlog::Weight::kBelief, "leaf_unresponsive")
      .with("leaf", this->current_entry.run.id)
      .with("service", this->current_entry.service)
      .with("under_way", this->performance.in_flight())
      .with("ratio", this->performance.ratio(now));
  std::vector<std::function<void()>> notified;
  for (auto& [number, call] : this->in_flight) {
    if (auto on_unresponsive = std::exchange(call.on_unresponsive, nullptr)) {
      notified.push_back(std::move(on_unresponsive));
    }
  }
  for (const auto& on_unresponsive : notified) {
    on_unresponsive();
  }
}

void Leaf::eject(std::string_view reason) {
  if (this->ejected || this->retired || !this->policy.eject) {
    return;
  }
  this->ejected = true;
  this->log.event(eventlog::Weight::kBelief, "leaf_ejected")
      .with("leaf", this->current_entry.run.id)
      .with("service", this->current_entry.service)
      .with("address", this->current_entry.address)
      .with("losses", this->consecutive_losses)
      .with("reason", reason);
  asio::co_spawn(this->loop, probe(this->shared_from_this()), asio::detached);
}

Task<void> Leaf::probe(std::shared_ptr<Leaf> self) {
  // Probes with a connection attempt instead of a request: it shows whether the
  // leaf is alive without making a caller wait for the result.
  http::Timer timer(self->loop.get_executor());
  Duration pause = kMinEjection;
  for (std::uint32_t i = 1;
       i < self->consecutive_losses && pause < kMaxEjection; ++i) {
    pause *= 2;
  }
  while (!self->retired) {
    pause = std::min<Duration>(pause, kMaxEjection);
    self->retry_at = Clock::now() + pause;
    timer.expires_at(self->retry_at);
    co_await timer.async_wait(asio::use_awaitable);
    if (self->retired) {
      break;
    }
    const auto opened = co_await open_idle(self, kDialTimeout);
    if (opened) {
      self->reinstate();
      break;
    }
    self->was_unreachable = true;
    pause *= 2;
  }
}

void Leaf::reinstate() {
  this->ejected = false;
  if (std::exchange(this->was_unreachable, false)) {
    // The leaf accepts connections before the entry of its new run arrives.
    this->cold.assume_cold(Clock::now() + this->warmup);
  }
  this->log.event(eventlog::Weight::kBelief, "leaf_back")
      .with("leaf", this->current_entry.run.id)
      .with("service", this->current_entry.service);
  this->on_free();
}

}  // namespace ibismux::dispatch
