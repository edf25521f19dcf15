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
constexpr milliseconds kDialTime{400};
// A host whose leaf process has ended refuses a connection immediately. This
// check delays the retry of a lost call by at most this long.
constexpr milliseconds kCauseTime{40};
// A crashed leaf needs at least seconds to restart; the short first pause
// detects a leaf that has only reset its connections.
constexpr milliseconds kFirstEjection{100};
constexpr milliseconds kLongestEjection{1000};
// A single call without an answer may be specific to that call.
constexpr std::uint32_t kLossesToEject = 2;
// A call that was cancelled before this multiple of the typical latency tells
// nothing about the leaf.
constexpr int kPatienceTimes = 4;

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
      known(std::move(entry)),
      on_free(std::move(on_free)),
      links(connector, std::hash<std::string>()(this->known.run.id)),
      warmer(loop.get_executor()) {
  this->cold.set_told(Clock::now() + this->known.warmup_left);
}

void Leaf::update(const directory::LeafEntry& entry) {
  this->known = entry;
  this->cold.set_told(Clock::now() + entry.warmup_left);
}

void Leaf::set_warmup(Duration time, ColdShare share) {
  this->warmup = time;
  this->cold.set_share(share);
}

void Leaf::announce_when_warmer() {
  const TimePoint now = Clock::now();
  const TimePoint next = this->cold.next(now);
  if (next <= now || this->retired) {
    return;
  }
  this->warmer.expires_at(next);
  http::await_timer(this->warmer, this->weak_from_this(), &Leaf::tell_free);
}

void Leaf::grant_links(LinkGrant grant) {
  this->window.set_most(grant.most);
  this->links.grant(grant);
}

void Leaf::retire() {
  this->retired = true;
  this->links.set_closed(true);
}

void Leaf::end_run() {
  this->run_ended = true;
  this->retire();
  // Closing a link ends its call later, on the event loop; `pending` doesn't
  // change during the iteration.
  for (const auto& [number, call] : this->pending) {
    call.link->close();
  }
}

void Leaf::set_evacuated(bool out) {
  if (std::exchange(this->evacuated, out) == out) {
    return;
  }
  this->links.set_closed(out || this->retired);
  if (!out) {
    // Leafs may have become cold while they got no calls, and the entries that
    // report it may not have arrived yet.
    this->cold.assume(Clock::now() + this->warmup);
  }
}

Duration Leaf::until_retry(TimePoint now) const noexcept {
  if (this->ejected) {
    return remaining(this->retry_at, now);
  }
  return this->cold.is_closed(now) ? this->cold.next(now) - now
                                   : Duration::zero();
}

void Leaf::start(Order order) {
  ++this->orders;
  this->cold.on_call(Clock::now());
  asio::co_spawn(this->loop, run(this->shared_from_this(), std::move(order)),
                 asio::detached);
}

Task<void> Leaf::run(std::shared_ptr<Leaf> self, Order order) {
  CallEnd end = co_await exchange(self, order);
  --self->orders;
  order.on_end(std::move(end));
  self->on_free();
}

Task<CallEnd> Leaf::exchange(std::shared_ptr<Leaf> self, Order& order) {
  Result<LinkPool::Acquired> acquired;
  if (auto idle = self->links.take_idle()) {
    acquired = *std::move(idle);
  } else {
    auto dialled = co_await dial(self, order.call->deadline);
    acquired = std::move(dialled);
  }
  if (!acquired) {
    co_return CallEnd{tl::unexpected(std::move(acquired.error())), false};
  }
  std::unique_ptr<LeafLink> link = std::move(acquired->link);
  if (order.active->given_up) {
    self->links.give_back(std::move(link), false);
    co_return CallEnd{
        fail(ErrorKind::kCancelled, "given up before it was sent"), false};
  }
  order.active->link = link.get();
  order.active->sent_at = Clock::now();
  const auto ticket = self->numbers.sent(*order.active->sent_at);
  const std::uint64_t number = self->next_pending++;
  self->pending.emplace(number,
                        Pending{link.get(), std::move(order.on_unresponsive)});
  auto reply = co_await link->call(order.call);
  self->pending.erase(number);
  order.active->link = nullptr;
  const bool sent = reply || reply.error().execution != Execution::kNotRun;
  CallEnd end{std::move(reply), sent};
  self->judge(end, ticket, order, acquired->is_new, Clock::now());
  self->links.give_back(std::move(link), true);
  const bool is_lost = !end.reply && sent && !order.active->given_up &&
                       end.reply.error().kind == ErrorKind::kLeafUnavailable;
  if (is_lost && order.crashes && order.crashes->asks_for_cause()) {
    const bool ended = co_await has_ended(self);
    end.leaf_ended = ended;
  }
  co_return end;
}

Task<Result<void>> Leaf::open_idle(std::shared_ptr<Leaf> self, Duration time) {
  auto dialled = co_await self->links.dial(self->known, Clock::now() + time);
  if (!dialled) {
    co_return tl::unexpected(std::move(dialled.error()));
  }
  self->links.give_back(std::move(dialled->link), false);
  co_return Result<void>();
}

Task<bool> Leaf::has_ended(std::shared_ptr<Leaf> self) {
  if (self->run_ended) {
    co_return true;
  }
  const auto opened = co_await open_idle(self, kCauseTime);
  if (opened || opened.error().kind != ErrorKind::kLeafUnavailable) {
    co_return false;
  }
  self->note_down("ended under a call: " + opened.error().message);
  co_return true;
}

Task<Result<LinkPool::Acquired>> Leaf::dial(std::shared_ptr<Leaf> self,
                                            TimePoint deadline) {
  const TimePoint latest = Clock::now() + kDialTime;
  auto dialled =
      co_await self->links.dial(self->known, std::min(deadline, latest));
  const bool in_a_hurry =
      !dialled && dialled.error().kind == ErrorKind::kDeadlineExceeded &&
      deadline < latest;
  if (!dialled && !in_a_hurry) {
    self->note_down("dial: " + dialled.error().message);
  }
  co_return dialled;
}

Task<void> Leaf::open_ahead(std::shared_ptr<Leaf> self) {
  const auto opened = co_await open_idle(self, kDialTime);
  if (!opened) {
    self->note_down("dial ahead: " + opened.error().message);
    co_return;
  }
  self->on_free();
}

void Leaf::note_down(std::string_view reason) {
  this->was_down = true;
  this->eject(reason);
}

void Leaf::judge(const CallEnd& end,
                 LeafEstimate::Ticket ticket,
                 const Order& order,
                 bool first_use,
                 TimePoint now) {
  if (!end.reply) {
    if (first_use && !order.active->given_up &&
        end.reply.error().kind == ErrorKind::kLeafUnavailable) {
      this->note_connection_limit(now);
    }
    this->judge_loss(end.reply.error(), ticket, order, now);
    return;
  }
  this->losses = 0;
  this->links.note_answer();
  if (this->policy.use_leaf_load && end.reply->load &&
      end.reply->kind != LeafReply::Kind::kOtherInstance) {
    this->numbers.note_load(*end.reply->load, now);
  }
  switch (end.reply->kind) {
    case LeafReply::Kind::kSuccess:
      this->window.on_answer(now - *ticket, order.unloaded, this->orders, now);
      this->numbers.answered(ticket, order.usual, now);
      break;
    case LeafReply::Kind::kNotRun:
      this->window.on_turned_away(now);
      this->numbers.failed(ticket, now);
      break;
    case LeafReply::Kind::kFailure:
      this->numbers.failed(ticket, now);
      break;
    case LeafReply::Kind::kOtherInstance:
      this->numbers.failed(ticket, now);
      this->log.event(eventlog::Weight::kBelief, "leaf_replaced")
          .with("leaf", this->known.run.id)
          .with("service", this->known.service)
          .with("address", this->known.address)
          .with("request", order.call->request_id);
      this->retire();
      break;
  }
}

void Leaf::judge_loss(const Error& error,
                      LeafEstimate::Ticket ticket,
                      const Order& order,
                      TimePoint now) {
  const Duration waited = now - *ticket;
  // A call that was cancelled or reached its deadline before the leaf could be
  // expected to answer tells nothing about the leaf. After an outage the last
  // attempts of callers have little time left, and would otherwise get healthy
  // leafs ejected.
  const bool in_a_hurry =
      order.active->given_up || error.kind == ErrorKind::kDeadlineExceeded;
  if (in_a_hurry && waited < order.usual * kPatienceTimes) {
    this->numbers.answered(ticket, order.usual, *ticket + order.usual);
    return;
  }
  this->numbers.lost(ticket, now);
  if (this->links.is_at_connection_limit(now)) {
    return;
  }
  ++this->losses;
  if (this->losses >= kLossesToEject) {
    this->eject("no answers: " + error.message);
  }
}

void Leaf::note_connection_limit(TimePoint now) {
  const Duration pause = this->links.note_connection_limit(now);
  this->log.event(eventlog::Weight::kBelief, "leaf_connection_limit")
      .with("leaf", this->known.run.id)
      .with("service", this->known.service)
      .with("open_links", this->links.open())
      .with("pause_ms", pause);
}

void Leaf::report_unresponsive(TimePoint now) {
  this->log.event(eventlog::Weight::kBelief, "leaf_unresponsive")
      .with("leaf", this->known.run.id)
      .with("service", this->known.service)
      .with("under_way", this->numbers.under_way())
      .with("ratio", this->numbers.ratio(now));
  std::vector<std::function<void()>> notified;
  for (auto& [number, call] : this->pending) {
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
      .with("leaf", this->known.run.id)
      .with("service", this->known.service)
      .with("address", this->known.address)
      .with("losses", this->losses)
      .with("reason", reason);
  asio::co_spawn(this->loop, probe(this->shared_from_this()), asio::detached);
}

Task<void> Leaf::probe(std::shared_ptr<Leaf> self) {
  // Probes with a connection attempt instead of a request: it shows whether the
  // leaf is alive without making a caller wait for the result.
  http::Timer timer(self->loop.get_executor());
  Duration pause = kFirstEjection;
  for (std::uint32_t i = 1; i < self->losses && pause < kLongestEjection; ++i) {
    pause *= 2;
  }
  while (!self->retired) {
    pause = std::min<Duration>(pause, kLongestEjection);
    self->retry_at = Clock::now() + pause;
    timer.expires_at(self->retry_at);
    co_await timer.async_wait(asio::use_awaitable);
    if (self->retired) {
      break;
    }
    const auto opened = co_await open_idle(self, kDialTime);
    if (opened) {
      self->come_back();
      break;
    }
    self->was_down = true;
    pause *= 2;
  }
}

void Leaf::come_back() {
  this->ejected = false;
  if (std::exchange(this->was_down, false)) {
    // The leaf accepts connections before the entry of its new run arrives.
    this->cold.assume(Clock::now() + this->warmup);
  }
  this->log.event(eventlog::Weight::kBelief, "leaf_back")
      .with("leaf", this->known.run.id)
      .with("service", this->known.service);
  this->on_free();
}

}  // namespace ibismux::dispatch
