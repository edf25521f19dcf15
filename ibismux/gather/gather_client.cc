#include "ibismux/gather/gather_client.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>
#include <vector>

#include "ibismux/eventlog/event_log.h"
#include "ibismux/gather/gather_roles.h"
#include "ibismux/gather/log_refused.h"
#include "ibismux/http/cancel_token.h"
#include "ibismux/peer/notify_member.h"

namespace ibismux::gather {

namespace {

namespace asio = boost::asio;
using peer::MessageKind;
using std::chrono::milliseconds;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// A peer of the zone must report that it has taken a query within
// `kConfirmTimeout`, and within this fraction of the time until the answer is
// due: the remaining time must suffice for gathering the query here.
constexpr milliseconds kConfirmTimeout{20};
constexpr double kConfirmTimeoutFraction = 0.3;
// If a timer fires later than this, the event loop was busy and may not have
// read messages that have already arrived.
constexpr milliseconds kTimerTolerance{1};

}  // namespace

GatherClient::GatherClient(asio::io_context& loop,
                           peer::PeerNetwork& network,
                           eventlog::EventLog& log,
                           std::uint64_t seed)
    : loop(loop), network(network), log(log), overflow(seed) {}

void GatherClient::start() {
  peer::notify_member(this->network, MessageKind::kGatherOffer,
                      this->weak_from_this(), &GatherClient::on_offer);
  peer::notify_member(this->network, MessageKind::kGatherSpare,
                      this->weak_from_this(), &GatherClient::on_spare);
  peer::notify_member(this->network, MessageKind::kGatherTaken,
                      this->weak_from_this(), &GatherClient::on_taken);
}

void GatherClient::on_roles(const GatherRoles& roles) {
  this->overflow.set_gatherers(roles.distant_gatherers);
}

void GatherClient::on_unavailable(const Needs& needs, TimePoint now) {
  if (needs.stays_in_zone) {
    return;
  }
  const std::vector<std::string> asked = this->overflow.on_unavailable(now);
  if (!asked.empty()) {
    this->asked_at.clear();
  }
  for (const std::string& member : asked) {
    this->asked_at[member] = now;
    this->network.notify(member, MessageKind::kGatherWanted, "");
  }
}

void GatherClient::on_offer(const Incarnation& from,
                            const std::string& payload) {
  const auto offer = decode_offer(payload);
  if (!offer) {
    log_refused(this->log, "gather_offer_refused", from, offer.error());
    return;
  }
  this->selector.on_offer(from.member, offer->sequence, offer->room,
                          offer->reads_customer, Clock::now());
}

void GatherClient::on_spare(const Incarnation& from,
                            const std::string& payload) {
  const auto offer = decode_offer(payload);
  if (!offer) {
    log_refused(this->log, "gather_offer_refused", from, offer.error());
    return;
  }
  const TimePoint now = Clock::now();
  const auto asked = this->asked_at.find(from.member);
  // An answer that was held up on the way says nothing of the room now.
  if (asked == this->asked_at.end() ||
      now - asked->second > GathererSelector::kOfferLifetime) {
    return;
  }
  this->selector.on_distant_offer(from.member, offer->sequence, offer->room,
                                  now - asked->second, now);
}

void GatherClient::on_taken(const Incarnation& from,
                            const std::string& payload) {
  const auto number = decode_query_number(payload);
  if (!number) {
    log_refused(this->log, "gather_taken_refused", from, number.error());
    return;
  }
  const auto found = this->pending_queries.find(*number);
  const auto pending =
      found == this->pending_queries.end() ? nullptr : found->second.lock();
  if (pending) {
    pending->taken = true;
    pending->timer.cancel();
    this->network.notify(from.member, MessageKind::kGatherConfirm, payload);
  }
}

Task<dispatch::QueryDelegate::DelegationResult> GatherClient::run(
    Query query,
    std::shared_ptr<http::CancelToken> caller) {
  const auto self = this->shared_from_this();
  const TimePoint now = Clock::now();
  const auto selection = this->selector.select(query.needs, now);
  if (!selection) {
    co_return DelegationResult{};
  }
  const std::uint64_t number = ++this->last_number;
  auto pending = std::make_shared<PendingQuery>(this->loop);
  this->pending_queries.emplace(number, pending);
  // The way there and back is time that the peer doesn't have.
  std::string payload = encode(
      GatherQuery{number, selection->offer, query.configuration, query.request},
      now + selection->round_trip);
  asio::co_spawn(this->loop,
                 request(self, selection->member, std::move(payload),
                         query.final_deadline, pending),
                 asio::detached);
  caller->on_cancel([weak = std::weak_ptr(pending)](http::CancelReason reason) {
    if (const auto live = weak.lock()) {
      live->cancelled = reason;
      live->timer.cancel();
    }
  });
  const Duration confirm_budget =
      scaled(query.due - now, kConfirmTimeoutFraction);
  const TimePoint confirm_deadline =
      now + std::min<Duration>(kConfirmTimeout + selection->round_trip,
                               confirm_budget);
  co_await wait(pending, confirm_deadline, query.final_deadline);
  caller->on_cancel([](http::CancelReason) {});
  this->pending_queries.erase(number);
  this->selector.on_end(selection->member);
  co_return this->finish(selection->member, number, query, *pending);
}

Task<void> GatherClient::request(std::shared_ptr<GatherClient> self,
                                 std::string member,
                                 std::string payload,
                                 TimePoint deadline,
                                 std::shared_ptr<PendingQuery> pending) {
  auto reply = co_await self->network.request(std::move(member),
                                              MessageKind::kGatherQuery,
                                              std::move(payload), deadline);
  pending->reply = std::move(reply);
  pending->timer.cancel();
}

Task<void> GatherClient::wait(std::shared_ptr<PendingQuery> pending,
                              TimePoint confirm_deadline,
                              TimePoint final_deadline) {
  bool has_rechecked = false;
  while (!pending->reply && !pending->cancelled) {
    const TimePoint until = pending->taken ? final_deadline : confirm_deadline;
    pending->timer.expires_at(until);
    const auto [cancelled] = co_await pending->timer.async_wait(kAwait);
    const TimePoint now = Clock::now();
    if (cancelled || now < until) {
      continue;
    }
    if (now <= until + kTimerTolerance || has_rechecked) {
      co_return;
    }
    // The event loop was late. The next wait expires at once, but lets the loop
    // process the messages that have arrived in the meantime.
    has_rechecked = true;
  }
}

dispatch::QueryDelegate::DelegationResult GatherClient::finish(
    const std::string& member,
    std::uint64_t number,
    const Query& query,
    PendingQuery& pending) {
  if (pending.reply) {
    return this->read_reply(member, query, pending);
  }
  this->network.notify(member, MessageKind::kGatherCancel,
                       encode_query_number(number));
  if (pending.cancelled == http::CancelReason::kClientGone) {
    return {.outcome = fail(ErrorKind::kCancelled, "the caller is gone")};
  }
  if (pending.cancelled == http::CancelReason::kStopping) {
    return {.outcome =
                fail(ErrorKind::kOutcomeUnknown,
                     "no answer from " + member + " before this daemon stops")};
  }
  if (pending.taken) {
    this->log_failure("gather_lost", member, query, "no answer in time");
    return {.outcome = fail(ErrorKind::kDeadlineExceeded,
                            "no answer from " + member + " in time")};
  }
  this->log_failure("gather_not_taken", member, query,
                    "no confirmation in time");
  this->selector.on_unresponsive(member, Clock::now());
  return {.outcome = std::nullopt, .may_have_run = true};
}

dispatch::QueryDelegate::DelegationResult GatherClient::read_reply(
    const std::string& member,
    const Query& query,
    const PendingQuery& pending) {
  const Result<std::string>& reply = *pending.reply;
  if (!reply) {
    this->log_failure("gather_lost", member, query, reply.error().message);
    this->selector.on_unresponsive(member, Clock::now());
    if (pending.taken) {
      return {.outcome = fail(ErrorKind::kOutcomeUnknown,
                              member + ": " + reply.error().message)};
    }
    return {.outcome = std::nullopt,
            .may_have_run = reply.error().execution != Execution::kNotRun};
  }
  auto answer = decode_answer(*reply);
  if (!answer) {
    this->log_failure("gather_lost", member, query, answer.error().message);
    return {.outcome = tl::unexpected(std::move(answer.error()))};
  }
  if (!answer->outcome) {
    this->log_failure("gather_not_taken", member, query, answer->reason);
    this->selector.on_refused(member);
    return {};
  }
  this->selector.on_taken(member);
  return {.outcome = std::move(answer->outcome)};
}

void GatherClient::log_failure(std::string_view event,
                               const std::string& member,
                               const Query& query,
                               std::string_view reason) {
  const TimePoint now = Clock::now();
  this->log.event(eventlog::Weight::kFailure, event)
      .with("request", query.request.id)
      .with("gatherer", member)
      .with("config", query.configuration)
      .with("reason", reason)
      .with("at_ms", now - query.request.received)
      .with("left_ms", remaining(query.final_deadline, now));
}

}  // namespace ibismux::gather
