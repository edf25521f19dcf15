#include "ibismux/gather/gather_host.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>
#include <vector>

#include "ibismux/eventlog/event_log.h"
#include "ibismux/gather/gather_room.h"
#include "ibismux/gather/log_refused.h"
#include "ibismux/http/await_timer.h"
#include "ibismux/http/cancel_token.h"
#include "ibismux/peer/notify_member.h"

namespace ibismux::gather {

namespace {

using peer::MessageKind;
using std::chrono::milliseconds;

// A third of `GathererSelector::kOfferLifetime`, so that a peer still has a
// valid offer after two lost ones.
constexpr milliseconds kOfferInterval{200};
// `GathererSelector::kOfferLifetime` plus the time that a frame may take in
// transit.
constexpr milliseconds kOfferAcceptedFor{900};
// Limit of stored cancellations for queries that have not been read yet.
constexpr std::size_t kMaxEarlyCancels = 64;

}  // namespace

GatherHost::GatherHost(boost::asio::io_context& loop,
                       peer::PeerNetwork& network,
                       dispatch::QueryGatherer& gatherer,
                       eventlog::EventLog& log,
                       bool serves_other_zones)
    : loop(loop),
      network(network),
      gatherer(gatherer),
      log(log),
      serves_other_zones(serves_other_zones),
      timer(loop.get_executor()) {}

void GatherHost::start() {
  const std::weak_ptr<GatherHost> weak = this->weak_from_this();
  this->network.on_request(
      MessageKind::kGatherQuery,
      [weak](const Incarnation& from,
             std::string payload) -> Task<Result<std::string>> {
        return serve(weak.lock(), from, std::move(payload));
      });
  peer::notify_member(this->network, MessageKind::kGatherCancel, weak,
                      &GatherHost::on_cancel);
  peer::notify_member(this->network, MessageKind::kGatherConfirm, weak,
                      &GatherHost::on_confirm);
  peer::notify_member(this->network, MessageKind::kGatherWanted, weak,
                      &GatherHost::on_wanted);
  this->network.on_lost([weak](const Incarnation& from) {
    if (const auto self = weak.lock()) {
      self->on_lost(from.member);
    }
  });
  this->tick();
}

void GatherHost::on_roles(GatherRoles roles) {
  if (roles.gathers != this->roles.gathers) {
    this->log.event(eventlog::Weight::kBelief, "gather_role")
        .with("gathers", roles.gathers)
        .with("served", roles.served.size())
        .with("gatherers", roles.gatherers);
  }
  this->roles = std::move(roles);
}

void GatherHost::drain() {
  this->draining = true;
  this->send_offers(0);
}

void GatherHost::tick() {
  if (this->roles.gathers && !this->draining &&
      this->gatherer.configuration() > 0) {
    this->send_offers(GatherRoom::near_room(this->running.size()));
  }
  this->timer.expires_after(kOfferInterval);
  http::await_timer(this->timer, this->weak_from_this(), &GatherHost::tick);
}

void GatherHost::send_offers(std::size_t room) {
  if (!this->roles.gathers) {
    return;
  }
  const std::string payload = this->make_offer(room, false);
  for (const std::string& member : this->roles.served) {
    this->network.notify(member, MessageKind::kGatherOffer, payload);
  }
}

std::string GatherHost::make_offer(std::size_t room, bool is_distant) {
  const TimePoint now = Clock::now();
  this->offers.push_back({++this->sequence, now, is_distant});
  while (now - this->offers.front().at > kOfferAcceptedFor) {
    this->offers.pop_front();
  }
  return encode(GatherOffer{this->sequence, room, true});
}

void GatherHost::on_wanted(const Incarnation& from, const std::string&) {
  const std::size_t room = GatherRoom::distant_room(this->running.size());
  if (this->serves_other_zones && this->roles.gathers && !this->draining &&
      this->gatherer.configuration() > 0 && room > 0) {
    this->network.notify(from.member, MessageKind::kGatherSpare,
                         this->make_offer(room, true));
  }
}

const GatherHost::SentOffer* GatherHost::recent_offer(std::uint64_t number,
                                                      TimePoint now) const {
  const auto found = std::find_if(
      this->offers.begin(), this->offers.end(),
      [number](const SentOffer& offer) { return offer.number == number; });
  return found != this->offers.end() && now - found->at <= kOfferAcceptedFor
             ? &*found
             : nullptr;
}

std::optional<std::string> GatherHost::refusal_reason(const GatherQuery& query,
                                                      const Key& key,
                                                      TimePoint now) const {
  if (this->draining) {
    return "this daemon stops";
  }
  const SentOffer* offer = this->recent_offer(query.offer, now);
  if (!offer) {
    return "the offer is old";
  }
  if (this->gatherer.configuration() != query.configuration) {
    return "another configuration is in force here";
  }
  if (!GatherRoom::has_room(this->running.size(), offer->is_distant)) {
    return "no room";
  }
  const bool is_cancelled =
      std::find(this->cancelled_early.begin(), this->cancelled_early.end(),
                key) != this->cancelled_early.end();
  return is_cancelled ? std::optional<std::string>("cancelled") : std::nullopt;
}

Task<Result<std::string>> GatherHost::serve(std::shared_ptr<GatherHost> self,
                                            Incarnation from,
                                            std::string payload) {
  if (!self) {
    co_return fail(ErrorKind::kNotReady, "this daemon ends");
  }
  const TimePoint now = Clock::now();
  auto query = decode_query(payload, now);
  if (!query) {
    log_refused(self->log, "gather_query_refused", from, query.error());
    co_return tl::unexpected(std::move(query.error()));
  }
  const Key key(from.member, query->number);
  if (auto reason = self->refusal_reason(*query, key, now)) {
    self->log.event(eventlog::Weight::kFailure, "gather_query_not_taken")
        .with("request", query->request.id)
        .with("from", from.member)
        .with("reason", *reason);
    co_return encode(GatherAnswer{std::nullopt, *std::move(reason)});
  }
  self->network.notify(from.member, MessageKind::kGatherTaken,
                       encode_query_number(query->number));
  const Running run{std::make_shared<dispatch::Confirmation>(),
                    std::make_shared<http::CancelToken>()};
  self->running[key] = run;
  auto outcome = co_await self->gatherer.gather(
      std::move(query->request), run.confirmation, run.cancelled);
  // The query counts as in progress until its answer has been passed to the
  // network, because a stopping daemon exits when no query is in progress.
  boost::asio::post(self->loop, [self, key] { self->running.erase(key); });
  co_return encode(GatherAnswer{std::move(outcome), {}});
}

void GatherHost::on_confirm(const Incarnation& from,
                            const std::string& payload) {
  const auto number = decode_query_number(payload);
  if (!number) {
    log_refused(this->log, "gather_confirm_refused", from, number.error());
    return;
  }
  const auto found = this->running.find(Key(from.member, *number));
  if (found != this->running.end()) {
    found->second.confirmation->given = true;
  }
}

void GatherHost::on_cancel(const Incarnation& from,
                           const std::string& payload) {
  const auto number = decode_query_number(payload);
  if (!number) {
    log_refused(this->log, "gather_cancel_refused", from, number.error());
    return;
  }
  const Key key(from.member, *number);
  const auto found = this->running.find(key);
  if (found != this->running.end()) {
    const auto token = found->second.cancelled;
    token->cancel();
    return;
  }
  this->cancelled_early.push_back(key);
  if (this->cancelled_early.size() > kMaxEarlyCancels) {
    this->cancelled_early.pop_front();
  }
}

template <class Condition>
void GatherHost::cancel_if(Condition condition, http::CancelReason reason) {
  std::vector<std::shared_ptr<http::CancelToken>> tokens;
  for (const auto& [key, run] : this->running) {
    if (condition(key)) {
      tokens.push_back(run.cancelled);
    }
  }
  for (const auto& token : tokens) {
    token->cancel(reason);
  }
}

void GatherHost::on_lost(const std::string& member) {
  this->cancel_if([&member](const Key& key) { return key.first == member; },
                  http::CancelReason::kClientGone);
}

void GatherHost::cancel_queries() {
  this->cancel_if([](const Key&) { return true; },
                  http::CancelReason::kStopping);
}

}  // namespace ibismux::gather
