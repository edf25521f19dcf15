#include "ibismux/reservation/reservation_engine.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "ibismux/base/io_pool.h"
#include "ibismux/membership/membership_view.h"
#include "ibismux/peer/peer_network.h"
#include "ibismux/peer/thrift_codec.h"
#include "ibismux/release/release.h"
#include "ibismux/reservation/bucket_keeper.h"
#include "ibismux/reservation/claim_client.h"
#include "ibismux/reservation/gen/reservation_types.h"
#include "ibismux/reservation/keyed_runner.h"
#include "ibismux/reservation/leaf_runner.h"
#include "ibismux/reservation/live_claims.h"
#include "ibismux/reservation/outcome_recorder.h"
#include "ibismux/reservation/pause.h"
#include "ibismux/reservation/reply_codec.h"
#include "ibismux/reservation/reservation_metrics.h"
#include "ibismux/reservation/ticket_runner.h"

namespace ibismux::reservation {

namespace {

constexpr std::chrono::milliseconds kFlushPoll{10};

/// Call ids of reservations must never meet those of queries, whose prefix is
/// the incarnation's number itself.
std::uint64_t call_origin(std::uint64_t incarnation) {
  constexpr std::uint64_t kSeed = 0x7265736572766174ULL;
  return XXH3_64bits_withSeed(&incarnation, sizeof(incarnation), kSeed);
}

std::vector<std::shared_ptr<BucketKeeper>> make_keepers(
    const ReservationSettings& settings,
    IoPool& pool,
    store::ObjectStore& store,
    ReservationMetrics& metrics) {
  std::vector<std::shared_ptr<BucketKeeper>> keepers;
  for (std::uint32_t bucket = 0; bucket < kBuckets; ++bucket) {
    keepers.push_back(std::make_shared<BucketKeeper>(
        bucket, settings, pool.at(bucket).get_executor(), store, metrics));
  }
  return keepers;
}

ReservationOutcome outcome_of(const Result<ReservationAnswer>& answer) {
  if (answer) {
    return answer->repeat ? ReservationOutcome::kRepeat
                          : ReservationOutcome::kRun;
  }
  return answer.error().execution == Execution::kNotRun
             ? ReservationOutcome::kNotRun
             : ReservationOutcome::kUnknown;
}

}  // namespace

class ReservationEngine::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(IoPool& pool,
       const RcuCell<release::Release>& releases,
       const RcuCell<membership::MembershipView>& members,
       gateway::LeafCaller& leafs,
       peer::PeerNetwork& peers,
       store::ObjectStore& store,
       prometheus::Registry& registry,
       const ReservationSettings& settings)
      : releases(releases),
        metrics(registry),
        runner(call_origin(peers.self().number), releases, leafs),
        client(std::make_shared<ClaimClient>(
            settings,
            members,
            peers,
            make_keepers(settings, pool, store, this->metrics))),
        live(std::make_shared<LiveClaims>(settings.most_live_claims)),
        recorder(
            std::make_shared<OutcomeRecorder>(pool, this->client, this->live)),
        keyed(peers.self(),
              members,
              this->runner,
              this->client,
              this->live,
              this->recorder),
        tickets(settings, members, peers, this->runner),
        incarnation(peers.self().number) {}

  /// Handlers outlive the engine in the network: they hold it only weakly.
  void listen(peer::PeerNetwork& peers);
  void stop() noexcept { this->recorder->stop(); }
  std::string issue_ticket() { return this->tickets.issue(); }

  Task<Result<ReservationAnswer>> reserve(ReservationRequest request);
  Task<Result<ReservationAnswer>> ask(std::string service,
                                      std::string key,
                                      TimePoint deadline);
  Task<> flush(TimePoint deadline);

 private:
  using Handler = Task<Result<std::string>> (Impl::*)(std::string);

  static Task<Result<std::string>> handle(std::weak_ptr<Impl> weak,
                                          Handler handler,
                                          std::string payload);
  Task<Result<std::string>> on_operation(std::string payload);
  Task<Result<std::string>> on_question(std::string payload);
  Task<Result<std::string>> on_ticket_run(std::string payload);

  Result<TimePoint> deadline_of(const ReservationRequest& request) const;

  const RcuCell<release::Release>& releases;
  ReservationMetrics metrics;
  LeafRunner runner;
  const std::shared_ptr<ClaimClient> client;
  const std::shared_ptr<LiveClaims> live;
  const std::shared_ptr<OutcomeRecorder> recorder;
  KeyedRunner keyed;
  TicketRunner tickets;
  const std::uint64_t incarnation;
};

Task<Result<std::string>> ReservationEngine::Impl::handle(
    std::weak_ptr<Impl> weak,
    Handler handler,
    std::string payload) {
  const auto self = weak.lock();
  if (!self) {
    co_return fail(ErrorKind::kNotReady, "the daemon is stopping");
  }
  co_return co_await (self.get()->*handler)(std::move(payload));
}

void ReservationEngine::Impl::listen(peer::PeerNetwork& peers) {
  using peer::MessageKind;
  constexpr std::pair<MessageKind, Handler> kHandlers[] = {
      {MessageKind::kClaim, &Impl::on_operation},
      {MessageKind::kRecord, &Impl::on_operation},
      {MessageKind::kAskKey, &Impl::on_question},
      {MessageKind::kTicketRun, &Impl::on_ticket_run},
  };
  for (const auto& [kind, handler] : kHandlers) {
    peers.on_request(kind,
                     [weak = this->weak_from_this(), handler = handler](
                         const Incarnation& /*from*/, std::string payload) {
                       return handle(weak, handler, std::move(payload));
                     });
  }
}

Task<Result<std::string>> ReservationEngine::Impl::on_operation(
    std::string payload) {
  co_return co_await this->client->serve(std::move(payload));
}

Task<Result<std::string>> ReservationEngine::Impl::on_question(
    std::string payload) {
  auto question = peer::decode<gen::Question>(payload);
  if (!question) {
    co_return tl::unexpected<Error>(std::move(question).error());
  }
  if (!question->ticket.empty()) {
    co_return encode_reply(this->tickets.ask_own(question->ticket));
  }
  gen::ClaimStatus status;
  status.incarnation = static_cast<std::int64_t>(this->incarnation);
  status.live =
      this->live->contains({static_cast<std::uint64_t>(question->claim_high),
                            static_cast<std::uint64_t>(question->claim_low)});
  co_return peer::encode(status);
}

Task<Result<std::string>> ReservationEngine::Impl::on_ticket_run(
    std::string payload) {
  auto request = decode_ticket_run(payload, Clock::now());
  if (!request) {
    co_return tl::unexpected<Error>(std::move(request).error());
  }
  const TimePoint deadline = request->received + *request->deadline;
  Result<ReservationAnswer> answer =
      co_await this->tickets.run_own(std::move(*request), deadline);
  co_return encode_reply(answer);
}

Result<TimePoint> ReservationEngine::Impl::deadline_of(
    const ReservationRequest& request) const {
  const auto release = this->releases.read();
  const auto service = release->services.find(request.service);
  if (service == release->services.end()) {
    return fail(ErrorKind::kNotFound, "no such service");
  }
  const auto allowed = service->second->spec.deadline;
  return request.received +
         std::min(request.deadline.value_or(allowed), allowed);
}

Task<Result<ReservationAnswer>> ReservationEngine::Impl::reserve(
    ReservationRequest request) {
  const auto deadline = this->deadline_of(request);
  if (!deadline) {
    co_return tl::unexpected<Error>(deadline.error());
  }
  const auto ticket = parse_ticket(request.key);
  ReservationKind kind = ReservationKind::kUnkeyed;
  Result<ReservationAnswer> answer;
  if (ticket) {
    kind = ReservationKind::kTicket;
    answer = co_await this->tickets.run(std::move(request), *ticket, *deadline);
  } else if (!request.key.empty()) {
    kind = ReservationKind::kKeyed;
    answer = co_await this->keyed.run(std::move(request), *deadline);
  } else {
    answer = co_await this->runner.run(std::move(request), *deadline);
  }
  this->metrics.count(kind, outcome_of(answer));
  this->metrics.set_live_claims(this->live->size());
  co_return answer;
}

Task<Result<ReservationAnswer>> ReservationEngine::Impl::ask(
    std::string service,
    std::string key,
    TimePoint deadline) {
  const auto ticket = parse_ticket(key);
  if (ticket) {
    co_return co_await this->tickets.ask(std::move(key), *ticket, deadline);
  }
  co_return co_await this->keyed.ask(hash_key(service, key), deadline);
}

Task<> ReservationEngine::Impl::flush(TimePoint deadline) {
  while (this->live->size() > 0 && Clock::now() < deadline) {
    co_await pause_until(Clock::now() + kFlushPoll);
  }
}

ReservationEngine::ReservationEngine(
    IoPool& pool,
    const RcuCell<release::Release>& releases,
    const RcuCell<membership::MembershipView>& members,
    gateway::LeafCaller& leafs,
    peer::PeerNetwork& peers,
    store::ObjectStore& store,
    prometheus::Registry& metrics,
    const ReservationSettings& settings)
    : impl(std::make_shared<Impl>(pool,
                                  releases,
                                  members,
                                  leafs,
                                  peers,
                                  store,
                                  metrics,
                                  settings)) {
  this->impl->listen(peers);
}

ReservationEngine::~ReservationEngine() {
  this->impl->stop();
}

Task<Result<ReservationAnswer>> ReservationEngine::reserve(
    ReservationRequest request) {
  const auto self = this->impl;
  co_return co_await self->reserve(std::move(request));
}

Task<Result<ReservationAnswer>> ReservationEngine::ask(std::string service,
                                                       std::string key,
                                                       TimePoint deadline) {
  const auto self = this->impl;
  co_return co_await self->ask(std::move(service), std::move(key), deadline);
}

std::string ReservationEngine::issue_ticket() {
  return this->impl->issue_ticket();
}

Task<> ReservationEngine::flush(TimePoint deadline) {
  const auto self = this->impl;
  co_await self->flush(deadline);
}

}  // namespace ibismux::reservation
