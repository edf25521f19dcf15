#include "ibismux/gather/gather_client.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "ibismux/eventlog/event_log.h"
#include "ibismux/gather/log_refused.h"
#include "ibismux/http/cancel_token.h"
#include "ibismux/peer/notify_member.h"

namespace ibismux::gather {

namespace {

namespace asio = boost::asio;
using peer::MessageKind;
using std::chrono::milliseconds;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// How long a peer of the zone has to confirm a query, and the most of the time
// until the answer is due: what is left must do for gathering here.
constexpr milliseconds kTakenWithin{20};
constexpr double kTakenWithinPart = 0.3;
// A timer that fires later than this says that this daemon was busy, and may
// not have read what has come.
constexpr milliseconds kOnTime{1};

}  // namespace

GatherClient::GatherClient(asio::io_context& loop,
                           peer::PeerNetwork& network,
                           eventlog::EventLog& log)
    : loop(loop), network(network), log(log) {}

void GatherClient::start() {
  peer::notify_member(this->network, MessageKind::kGatherOffer,
                      this->weak_from_this(), &GatherClient::on_offer);
  peer::notify_member(this->network, MessageKind::kGatherTaken,
                      this->weak_from_this(), &GatherClient::on_taken);
}

void GatherClient::on_offer(const Incarnation& from,
                            const std::string& payload) {
  const auto offer = decode_offer(payload);
  if (!offer) {
    log_refused(this->log, "gather_offer_refused", from, offer.error());
    return;
  }
  this->choice.on_offer(from.member, offer->sequence, offer->room,
                        Clock::now());
}

void GatherClient::on_taken(const Incarnation& from,
                            const std::string& payload) {
  const auto number = decode_about(payload);
  if (!number) {
    log_refused(this->log, "gather_taken_refused", from, number.error());
    return;
  }
  const auto found = this->handovers.find(*number);
  const auto handover =
      found == this->handovers.end() ? nullptr : found->second.lock();
  if (handover) {
    handover->taken = true;
    handover->wake.cancel();
    this->network.notify(from.member, MessageKind::kGatherConfirm, payload);
  }
}

Task<dispatch::QueryDelegate::DelegationResult> GatherClient::run(
    Query query,
    std::shared_ptr<http::CancelToken> caller) {
  const auto self = this->shared_from_this();
  const TimePoint now = Clock::now();
  const auto pick = this->choice.choose(now);
  if (!pick) {
    co_return DelegationResult{};
  }
  const std::uint64_t number = ++this->last_number;
  auto handover = std::make_shared<Handover>(this->loop);
  this->handovers.emplace(number, handover);
  std::string payload = encode(
      GatherQuery{number, pick->offer, query.configuration, query.request},
      now);
  asio::co_spawn(this->loop,
                 request(self, pick->member, std::move(payload),
                         query.final_deadline, handover),
                 asio::detached);
  caller->on_cancel([weak = std::weak_ptr(handover)] {
    if (const auto live = weak.lock()) {
      live->caller_gone = true;
      live->wake.cancel();
    }
  });
  const Duration share = scaled(query.due - now, kTakenWithinPart);
  const TimePoint taken_by = now + std::min<Duration>(kTakenWithin, share);
  co_await wait(handover, taken_by, query.final_deadline);
  caller->on_cancel([] {});
  this->handovers.erase(number);
  this->choice.on_end(pick->member);
  co_return this->settle(pick->member, number, query, *handover);
}

Task<void> GatherClient::request(std::shared_ptr<GatherClient> self,
                                 std::string member,
                                 std::string payload,
                                 TimePoint deadline,
                                 std::shared_ptr<Handover> handover) {
  auto reply = co_await self->network.request(std::move(member),
                                              MessageKind::kGatherQuery,
                                              std::move(payload), deadline);
  handover->reply = std::move(reply);
  handover->wake.cancel();
}

Task<void> GatherClient::wait(std::shared_ptr<Handover> handover,
                              TimePoint taken_by,
                              TimePoint final_deadline) {
  bool caught_up = false;
  while (!handover->reply && !handover->caller_gone) {
    const TimePoint until = handover->taken ? final_deadline : taken_by;
    handover->wake.expires_at(until);
    const auto [cancelled] = co_await handover->wake.async_wait(kAwait);
    const TimePoint now = Clock::now();
    if (cancelled || now < until) {
      continue;
    }
    if (now <= until + kOnTime || caught_up) {
      co_return;
    }
    // This daemon was busy: what came meanwhile is read before a wait that is
    // over at once ends.
    caught_up = true;
  }
}

dispatch::QueryDelegate::DelegationResult GatherClient::settle(
    const std::string& member,
    std::uint64_t number,
    const Query& query,
    Handover& handover) {
  if (handover.reply) {
    return this->read(member, query, handover);
  }
  this->network.notify(member, MessageKind::kGatherCancel,
                       encode_about(number));
  if (handover.caller_gone) {
    return {.outcome = fail(ErrorKind::kCancelled, "the caller is gone")};
  }
  if (handover.taken) {
    this->note("gather_lost", member, query, "no answer in time");
    return {.outcome = fail(ErrorKind::kDeadlineExceeded,
                            "no answer from " + member + " in time")};
  }
  this->note("gather_not_taken", member, query, "no confirmation in time");
  this->choice.on_silent(member, Clock::now());
  return {.outcome = std::nullopt, .may_have_run = true};
}

dispatch::QueryDelegate::DelegationResult GatherClient::read(
    const std::string& member,
    const Query& query,
    const Handover& handover) {
  const Result<std::string>& reply = *handover.reply;
  if (!reply) {
    this->note("gather_lost", member, query, reply.error().message);
    this->choice.on_silent(member, Clock::now());
    if (handover.taken) {
      return {.outcome = fail(ErrorKind::kOutcomeUnknown,
                              member + ": " + reply.error().message)};
    }
    return {.outcome = std::nullopt,
            .may_have_run = reply.error().execution != Execution::kNotRun};
  }
  auto answer = decode_answer(*reply);
  if (!answer) {
    this->note("gather_lost", member, query, answer.error().message);
    return {.outcome = tl::unexpected(std::move(answer.error()))};
  }
  if (!answer->outcome) {
    this->note("gather_not_taken", member, query, answer->reason);
    this->choice.on_refused(member);
    return {};
  }
  this->choice.on_taken(member);
  return {.outcome = std::move(answer->outcome)};
}

void GatherClient::note(std::string_view event,
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
