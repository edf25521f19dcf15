#include "ibismux/reservation/ticket_runner.h"

#include <algorithm>
#include <utility>

#include "ibismux/membership/membership_view.h"
#include "ibismux/peer/peer_network.h"
#include "ibismux/peer/thrift_codec.h"
#include "ibismux/reservation/bucket_owner.h"
#include "ibismux/reservation/gen/reservation_types.h"
#include "ibismux/reservation/key_hash.h"
#include "ibismux/reservation/leaf_runner.h"
#include "ibismux/reservation/pause.h"
#include "ibismux/reservation/random_source.h"
#include "ibismux/reservation/reply_codec.h"

namespace ibismux::reservation {

namespace {

constexpr std::chrono::milliseconds kFirstPoll{5};
constexpr std::chrono::milliseconds kLongestPoll{100};
constexpr std::chrono::milliseconds kFullRetryAfter{1000};

std::chrono::milliseconds steady_millis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      Clock::now().time_since_epoch());
}

tl::unexpected<Error> unknown(std::string message) {
  return fail(ErrorKind::kOutcomeUnknown, std::move(message));
}

ReservationAnswer answer_of(const TicketTable::Entry& entry) {
  switch (entry.state) {
    case RecordState::kRun:
      return {KeyState::kRun, entry.shard, entry.result, true};
    case RecordState::kReleased:
    case RecordState::kClosed:
      return {KeyState::kNotRun, {}, {}, true};
    case RecordState::kClaimed:
      return {KeyState::kRunning, {}, {}, true};
    case RecordState::kUnknown:
      break;
  }
  return {KeyState::kUnknown, {}, {}, true};
}

/// The answer to an attempt that `start()` did not let run; nothing where it
/// must wait for another attempt that is running.
std::optional<Result<ReservationAnswer>> refusal(
    TicketTable::Start start,
    const TicketTable::Entry& entry) {
  if (start == TicketTable::Start::kReused) {
    return fail(ErrorKind::kKeyReused, "the ticket was used with another body");
  }
  if (start == TicketTable::Start::kExpired) {
    return unknown("the ticket has expired; whether it ran is forgotten");
  }
  if (start == TicketTable::Start::kFull) {
    Error error = make_error(ErrorKind::kOverloaded, "too many tickets in use");
    error.retry_after = kFullRetryAfter;
    return tl::unexpected<Error>(std::move(error));
  }
  switch (entry.state) {
    case RecordState::kRun:
      return answer_of(entry);
    case RecordState::kClosed:
      return fail(ErrorKind::kKeyReused,
                  "the ticket was closed as not run by a question about it");
    case RecordState::kUnknown:
      return unknown("an earlier attempt may have run");
    default:
      return std::nullopt;
  }
}

}  // namespace

TicketRunner::TicketRunner(const ReservationSettings& settings,
                           const RcuCell<membership::MembershipView>& members,
                           peer::PeerNetwork& peers,
                           LeafRunner& runner)
    : members(members), peers(peers), runner(runner), table(settings) {}

std::string TicketRunner::issue() {
  return to_string(
      Ticket{this->peers.self(), steady_millis(), random_number()});
}

bool TicketRunner::is_own(const Ticket& ticket) const {
  return ticket.issuer == this->peers.self();
}

Task<Result<ReservationAnswer>> TicketRunner::run(ReservationRequest request,
                                                  Ticket ticket,
                                                  TimePoint deadline) {
  if (this->is_own(ticket)) {
    co_return co_await this->run_own(std::move(request), deadline);
  }
  const auto view = this->members.read();
  if (has_ended(*view, ticket.issuer)) {
    co_return unknown("the daemon that issued the ticket is gone");
  }
  std::string payload = encode_ticket_run(request, deadline, Clock::now());
  Result<std::string> reply = co_await this->peers.request(
      ticket.issuer.member, peer::MessageKind::kTicketRun, std::move(payload),
      deadline);
  if (!reply) {
    // Even where this attempt was never sent, an earlier one may have been.
    co_return unknown("the daemon that issued the ticket can't be reached: " +
                      reply.error().message);
  }
  co_return decode_reply(*reply);
}

Task<Result<ReservationAnswer>> TicketRunner::run_own(
    ReservationRequest request,
    TimePoint deadline) {
  const auto ticket = parse_ticket(request.key);
  if (!ticket || !this->is_own(*ticket)) {
    co_return unknown("the run of the daemon that issued the ticket is gone");
  }
  std::chrono::milliseconds poll = kFirstPoll;
  TicketTable::Entry entry;
  TicketTable::Start start = this->start(*ticket, request, entry);
  while (start != TicketTable::Start::kStarted) {
    auto refused = refusal(start, entry);
    if (refused) {
      co_return std::move(*refused);
    }
    if (Clock::now() >= deadline) {
      co_return unknown("an earlier attempt is still running");
    }
    co_await pause_until(std::min(deadline, Clock::now() + poll));
    poll = std::min(poll * 2, kLongestPoll);
    start = this->start(*ticket, request, entry);
  }
  Result<ReservationAnswer> answer =
      co_await this->runner.run(std::move(request), deadline);
  this->finish(*ticket, answer);
  co_return answer;
}

TicketTable::Start TicketRunner::start(const Ticket& ticket,
                                       const ReservationRequest& request,
                                       TicketTable::Entry& entry) {
  std::lock_guard lock(this->mutex);
  return this->table.start(ticket, hash_body(*request.body), steady_millis(),
                           entry);
}

void TicketRunner::finish(const Ticket& ticket,
                          const Result<ReservationAnswer>& answer) {
  TicketTable::Entry outcome;
  if (answer) {
    outcome.state = RecordState::kRun;
    outcome.shard = answer->shard;
    outcome.result = answer->body;
  } else {
    outcome.state = answer.error().execution == Execution::kNotRun
                        ? RecordState::kReleased
                        : RecordState::kUnknown;
  }
  std::lock_guard lock(this->mutex);
  this->table.finish(ticket, std::move(outcome));
}

Result<ReservationAnswer> TicketRunner::ask_own(const std::string& key) {
  const auto ticket = parse_ticket(key);
  if (!ticket || !this->is_own(*ticket)) {
    return ReservationAnswer{KeyState::kUnknown, {}, {}, true};
  }
  std::lock_guard lock(this->mutex);
  return answer_of(this->table.ask(*ticket, steady_millis()));
}

Task<Result<ReservationAnswer>> TicketRunner::ask(std::string key,
                                                  Ticket ticket,
                                                  TimePoint deadline) {
  if (this->is_own(ticket)) {
    co_return this->ask_own(key);
  }
  const auto view = this->members.read();
  if (has_ended(*view, ticket.issuer)) {
    co_return ReservationAnswer{KeyState::kUnknown, {}, {}, true};
  }
  gen::Question question;
  question.ticket = std::move(key);
  std::string payload = peer::encode(question);
  Result<std::string> reply = co_await this->peers.request(
      ticket.issuer.member, peer::MessageKind::kAskKey, std::move(payload),
      deadline);
  if (!reply) {
    co_return unknown("the daemon that issued the ticket can't be reached: " +
                      reply.error().message);
  }
  co_return decode_reply(*reply);
}

}  // namespace ibismux::reservation
