#include "ibismux/customers/rate_limiter.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "ibismux/customers/rate_parts.h"
#include "ibismux/eventlog/event_log.h"
#include "ibismux/membership/membership_view.h"
#include "ibismux/startup/start_waiters.h"

namespace ibismux::customers {

namespace {

using peer::MessageKind;
using std::chrono::milliseconds;

// How long an owner may take to reply before the next one is asked.
constexpr milliseconds kAskTimeout{25};
// An owner that did not reply is not asked for this long.
constexpr milliseconds kUnreachablePause{500};
// The same, while this daemon starts, for one that has never replied: the
// connection to it may take longer to open than an answer.
constexpr milliseconds kFirstContactPause{60};
// Retry-After if no owner can be reached. Callers retry at another daemon.
constexpr milliseconds kNoOwnerRetryAfter{50};
constexpr milliseconds kMinRetryAfter{20};
// Above this number of customers, what is known of them is dropped. They then
// have no ungranted requests until owners have granted some again.
constexpr std::size_t kMaxStates = 20'000;
// Customers in one log summary.
constexpr std::size_t kLoggedCustomers = 20;

std::string joined(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& name : names) {
    text += (text.empty() ? "" : " ") + name;
  }
  return text;
}

}  // namespace

RateLimiter::RateLimiter(peer::PeerNetwork* network,
                         Settings settings,
                         prometheus::Registry& registry,
                         eventlog::EventLog& log)
    : network(network),
      settings(std::move(settings)),
      log(log),
      owned(this->settings.tolerance, this->settings.pace_returns),
      token_waiters(registry),
      counters(registry) {
  if (!network) {
    static_cast<void>(this->selector.on_members(
        {{this->settings.member, this->settings.zone}}, 1, Clock::now()));
  }
}

void RateLimiter::start() {
  if (!this->network) {
    return;
  }
  this->network->on_request(
      MessageKind::kRateRequest,
      [weak = this->weak_from_this()](
          Incarnation from, std::string payload) -> Task<Result<std::string>> {
        const auto self = weak.lock();
        if (!self) {
          co_return fail(ErrorKind::kNotReady, "this daemon ends");
        }
        const auto request = decode_rate_request(payload);
        if (!request) {
          self->log.event(eventlog::Weight::kBelief, "rate_request_refused")
              .with("from", from.member)
              .with("reason", request.error().message);
          co_return tl::unexpected(request.error());
        }
        co_return encode(self->decide(*request));
      });
}

void RateLimiter::on_view(const membership::MembershipView& view,
                          std::size_t fleet_size) {
  std::vector<OwnerSelector::Candidate> candidates;
  candidates.reserve(view.members.size());
  for (const membership::Member& member : view.members) {
    const bool leaving = member.state == membership::Member::State::kLeaving;
    if (member.serves() || leaving) {
      candidates.push_back({member.name, member.zone, leaving});
    }
  }
  ++this->views;
  const TimePoint now = Clock::now();
  // Until it has joined, a daemon doesn't know who else there is.
  const std::size_t known_size =
      view.joined ? fleet_size : std::max<std::size_t>(fleet_size, 2);
  if (this->selector.on_members(candidates, known_size, now)) {
    this->owned.retain([this](const std::string& customer) {
      return this->selector.is_owner(this->settings.member, customer);
    });
  }
  if (this->start_waiters) {
    this->start_waiters->notify();
  }
}

RateReply RateLimiter::decide(const RateRequest& request) {
  if (!this->selector.is_owner(this->settings.member, request.customer)) {
    return {};
  }
  const TimePoint now = Clock::now();
  const TimePoint since =
      this->owned.knows(request.customer)
          ? now
          : this->selector.owner_since(this->settings.member, request.customer);
  const RateOwner::Decision decision =
      this->owned.take(request.customer, request.limit, request.configuration,
                       request.is_late, since, now);
  return {true, decision.granted, decision.retry_after, decision.usage};
}

std::optional<RateReply> RateLimiter::decide_own(const RateRequest& request) {
  // Peers that ask agree that this daemon is an owner.
  if (!this->owned.knows(request.customer) &&
      !this->selector.is_settled(Clock::now())) {
    return std::nullopt;
  }
  const RateReply reply = this->decide(request);
  return reply.is_owner ? std::optional(reply) : std::nullopt;
}

std::vector<std::string> RateLimiter::owners_in_order(
    const std::string& customer) {
  std::vector<std::string> owners = this->selector.owners(customer);
  std::stable_sort(
      owners.begin(), owners.end(),
      [this](const std::string& a, const std::string& b) {
        const auto distance = [this](const std::string& owner) {
          const bool is_near =
              this->selector.zone_of(owner) == this->settings.zone;
          return owner == this->settings.member ? 0 : is_near ? 1 : 2;
        };
        return distance(a) < distance(b);
      });
  return owners;
}

RateLimiter::State& RateLimiter::state(const std::string& customer) {
  if (this->states.size() >= kMaxStates && !this->states.contains(customer)) {
    this->states.clear();
  }
  return this->states.try_emplace(customer, this->settings.tolerance.window)
      .first->second;
}

Task<RateLimiter::Round> RateLimiter::ask_owners(Question question) {
  const RateRequest& request = question.request;
  Round round;
  const auto note_refusal = [&round](const std::string& owner,
                                     TimePoint next_token) {
    round.refused_by.push_back(owner);
    if (!round.next_fit || next_token < *round.next_fit) {
      round.next_fit = next_token;
      round.next_owner = owner;
    }
  };
  std::vector<std::string> owners = this->owners_in_order(request.customer);
  const auto first =
      std::find(owners.begin(), owners.end(), question.promised_by);
  if (first != owners.end()) {
    std::rotate(owners.begin(), first, first + 1);
  }
  round.has_owners = !owners.empty();
  round.all_reached = round.has_owners;
  for (const std::string& owner : owners) {
    const OwnerRefusals& refusals = this->state(request.customer).refusals;
    const auto next_token =
        refusals.next_token(owner, question.latest_token, Clock::now());
    if (next_token && owner != question.promised_by) {
      const TimePoint at = refusals.refused_at(owner);
      round.remembered_since =
          std::min(round.remembered_since.value_or(at), at);
      note_refusal(owner, *next_token);
      continue;
    }
    const auto reply = co_await this->ask(owner, request, question.deadline);
    if (!reply) {
      round.all_reached = false;
      round.unreached.push_back(owner);
      continue;
    }
    if (reply->granted) {
      round.granted = true;
      round.usage = reply->usage;
      co_return round;
    }
    const TimePoint now = Clock::now();
    note_refusal(owner, now + reply->retry_after);
    // An owner that refuses a late request may have tokens for others.
    if (!request.is_late) {
      this->state(request.customer)
          .refusals.record(owner, now + reply->retry_after, now);
    }
  }
  co_return round;
}

Task<Result<RateGrant>> RateLimiter::admit(RateCheck check) {
  const auto self = this->shared_from_this();
  const Customer& customer = check.customer;
  // A variable of its own: GCC 12 miscompiles aggregates that are initialized
  // among the arguments of an awaited call.
  Question question{
      {customer.name, check.configuration, customer.limit, check.is_late},
      check.deadline,
      this->settings.wait_for_token ? TokenWait::latest_token(check)
                                    : TimePoint::min(),
      {}};
  milliseconds retry_after = kNoOwnerRetryAfter;
  int waits = 0;
  for (;;) {
    const std::uint64_t seen = this->views;
    const Round round = co_await this->ask_owners(question);
    if (this->is_allowed(customer, round)) {
      this->token_waiters.count(waits, true);
      co_return RateGrant{round.usage};
    }
    bool may_ask_again = false;
    if (!round.has_owners && this->start_waiters) {
      const startup::StartWaiters::Result waited =
          co_await this->wait_for_owners(check, seen);
      may_ask_again = waited.is_met;
      retry_after = waited.retry_after;
      question.deadline = std::min(check.deadline, check.latest_start);
    } else if (round.next_fit && this->settings.wait_for_token) {
      may_ask_again =
          co_await this->token_waiters.wait(check, *round.next_fit, waits);
      waits += may_ask_again ? 1 : 0;
      question.promised_by = round.next_owner;
    }
    if (!may_ask_again) {
      this->token_waiters.count(waits, false);
      co_return tl::unexpected(this->refusal(check, round, retry_after));
    }
  }
}

Task<startup::StartWaiters::Result> RateLimiter::wait_for_owners(
    const RateCheck& check,
    std::uint64_t seen) {
  std::function<bool()> is_met = [this, seen] { return this->views != seen; };
  co_return co_await this->start_waiters->wait(startup::Need::kRateOwners,
                                               check.latest_start - kAskTimeout,
                                               check.bytes, std::move(is_met));
}

bool RateLimiter::is_allowed(const Customer& customer, const Round& round) {
  const TimePoint now = Clock::now();
  UngrantedAllowance& allowance = this->state(customer.name).ungranted;
  if (round.granted) {
    const RateParts parts(customer.limit, this->settings.tolerance);
    allowance.on_grant(parts.ungranted_share(), now);
    this->counters.count(customer.name, RateResult::kGranted);
    return true;
  }
  if (!round.all_reached && allowance.take(now)) {
    this->counters.count(customer.name, RateResult::kUngranted);
    return true;
  }
  return false;
}

Error RateLimiter::refusal(const RateCheck& check,
                           const Round& round,
                           milliseconds no_owner_retry_after) {
  const Customer& customer = check.customer;
  if (!round.next_fit) {
    this->counters.count(customer.name, RateResult::kUndecided);
    Error error = make_error(ErrorKind::kNotReady,
                             "no owner of the limit can be reached");
    error.retry_after = no_owner_retry_after;
    this->log_refusal(check, round, error);
    return error;
  }
  this->counters.count(customer.name, RateResult::kRefused);
  Error error = make_error(
      ErrorKind::kRateLimited,
      "beyond the limit of " + std::to_string(customer.limit.per_second) +
          " a second and " + std::to_string(customer.limit.burst));
  error.retry_after =
      std::max(kMinRetryAfter,
               std::chrono::ceil<milliseconds>(*round.next_fit - Clock::now()));
  this->log_refusal(check, round, error);
  return error;
}

void RateLimiter::log_refusal(const RateCheck& check,
                              const Round& round,
                              const Error& error) {
  eventlog::Event line =
      this->log.event(eventlog::Weight::kFailure, "rate_refused");
  if (!line.enabled()) {
    return;
  }
  line.with("request", check.request)
      .with("customer", check.customer.name)
      .with("per_second", check.customer.limit.per_second)
      .with("burst", check.customer.limit.burst)
      .with("result", round.next_fit ? "refused" : "undecided")
      .with("refused_by", joined(round.refused_by))
      .with("unreached", joined(round.unreached))
      .with("retry_after_ms", Duration(*error.retry_after));
  if (round.remembered_since) {
    line.with("remembered_ms", Clock::now() - *round.remembered_since);
  }
}

Task<std::optional<RateReply>> RateLimiter::ask(const std::string& owner,
                                                const RateRequest& request,
                                                TimePoint deadline) {
  const TimePoint now = Clock::now();
  if (owner == this->settings.member) {
    co_return this->decide_own(request);
  }
  const auto pause = this->unreachable_until.find(owner);
  if (!this->network ||
      (pause != this->unreachable_until.end() && pause->second > now)) {
    co_return std::nullopt;
  }
  const bool has_full_time = deadline >= now + kAskTimeout;
  const auto answer = co_await this->network->request(
      owner, MessageKind::kRateRequest, encode(request),
      has_full_time ? now + kAskTimeout : deadline);
  if (!answer) {
    // An owner that had less time than it may take is not taken for lost.
    if (has_full_time || answer.error().kind != ErrorKind::kDeadlineExceeded) {
      this->on_unreachable(owner, answer.error().message);
    }
    co_return std::nullopt;
  }
  const auto reply = decode_rate_reply(*answer);
  if (!reply) {
    this->on_unreachable(owner, reply.error().message);
    co_return std::nullopt;
  }
  this->repliers.insert(owner);
  // The views of the two daemons may differ for a moment.
  co_return reply->is_owner ? std::optional(*reply) : std::nullopt;
}

void RateLimiter::log_usage() {
  for (const CustomerUsage& usage : this->owned.take_usage(kLoggedCustomers)) {
    this->log.event(eventlog::Weight::kBelief, "customer_usage")
        .with("customer", usage.customer)
        .with("per_second", usage.limit.per_second)
        .with("burst", usage.limit.burst)
        .with("asked", usage.asked)
        .with("granted", usage.granted)
        .with("late", usage.late);
  }
}

void RateLimiter::on_unreachable(const std::string& owner,
                                 std::string_view reason) {
  const TimePoint now = Clock::now();
  const bool is_first_contact =
      this->start_waiters &&
      now - this->created < startup::StartGate::kStartPeriod &&
      !this->repliers.contains(owner);
  this->unreachable_until[owner] =
      now + (is_first_contact ? kFirstContactPause : kUnreachablePause);
  this->log.event(eventlog::Weight::kFailure, "rate_owner_unreachable")
      .with("owner", owner)
      .with("reason", reason);
}

}  // namespace ibismux::customers
