// Handling of requests by the dispatcher: admission, then delegation to a peer
// or execution on this daemon.

#include <algorithm>
#include <boost/asio/async_result.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "ibismux/customers/bearer_key.h"
#include "ibismux/customers/customer_table.h"
#include "ibismux/customers/rate_admission.h"
#include "ibismux/customers/rate_check.h"
#include "ibismux/customers/rate_grant.h"
#include "ibismux/dispatch/answer_timing.h"
#include "ibismux/dispatch/dispatcher.h"
#include "ibismux/dispatch/forward_run.h"
#include "ibismux/dispatch/request_end.h"
#include "ibismux/dispatch/scatter_run.h"
#include "ibismux/eventlog/event_log.h"
#include "ibismux/http/cancel_token.h"
#include "ibismux/startup/start_waiters.h"

namespace ibismux::dispatch {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

// Retry-After for callers of a daemon that has no configuration yet. A starting
// daemon receives it within this time if the store responds.
constexpr milliseconds kNotReadyRetryAfter{200};

// The answers to a query over fewer shards fit into the bandwidth of any host.
constexpr std::size_t kMinShardsToDelegate = 8;
// Peers that are asked to gather one query, if they refuse it.
constexpr int kMaxDelegations = 2;
// Subtracted from the time until an answer is due, for the round trip to the
// peer that gathers it and the forwarding overhead of both daemons.
constexpr milliseconds kDelegationOverhead{2};

quarantine::RequestDigest digest_of(const CallerRequest& request) noexcept {
  return quarantine::RequestDigest({request.message->method, request.host,
                                    request.message->target,
                                    request.message->body});
}

// While no route is known, the objective of a request is taken to be this share
// of the time that its caller waits.
constexpr double kUnknownObjectiveShare = 0.1;

/// Why a request ends that was cancelled before it was sent to a leaf.
Error cancelled_before_run(http::CancelReason reason) {
  const bool is_stopping = reason == http::CancelReason::kStopping;
  Error error =
      make_error(is_stopping ? ErrorKind::kNotReady : ErrorKind::kCancelled,
                 is_stopping ? "this daemon stops" : "the caller is gone");
  if (is_stopping) {
    // Another daemon can take it at once.
    error.retry_after = milliseconds(0);
  }
  return error;
}

tl::unexpected<Error> no_configuration(milliseconds retry_after) {
  Error error = make_error(ErrorKind::kNotReady, "no configuration yet");
  error.retry_after = retry_after;
  return tl::unexpected(std::move(error));
}

QueryDelegate::Needs delegation_needs(const RequestContext& context) {
  return {.has_customer = !context.request.customer.empty(),
          .stays_in_zone =
              context.zones() != nullptr || context.attempt_limit() <= 1};
}

using OutcomeHandler =
    asio::async_result<asio::use_awaitable_t<>, void(Outcome)>::handler_type;

}  // namespace

tl::unexpected<Error> Dispatcher::refuse(const CallerRequest& request,
                                         Error error,
                                         const routing::Route* route) {
  const TimePoint now = Clock::now();
  this->metrics.request_ended(route ? route->name : "none", &error, false,
                              now - request.received);
  this->log.event(eventlog::Weight::kFailure, "request_refused")
      .with("request", request.id)
      .with("route", route ? route->name : "")
      .with("customer", request.customer)
      .with("caller_host", request.host)
      .with("path", request.path)
      .with("config", this->active_table ? this->active_table->version() : 0)
      .with("kind", error_entry(error.kind).name)
      .with("message", error.message)
      .with("left_ms", remaining(request.deadline, now));
  return tl::unexpected(std::move(error));
}

Result<void> Dispatcher::identify(RequestContext& context,
                                  CallerRequest& request,
                                  bool is_from_peer) {
  const customers::CustomerTable* table = context.table->customers();
  context.priority = context.route->priority;
  if (!table) {
    if (!request.authorization.empty()) {
      auto message = std::make_shared<http::Request>(*request.message);
      for (std::string& value : request.authorization) {
        message->fields.emplace_back("Authorization", std::move(value));
      }
      request.authorization.clear();
      request.message = std::move(message);
    }
    return {};
  }
  const customers::Customer* customer = nullptr;
  if (is_from_peer) {
    customer = table->find_by_name(request.customer);
  } else if (const auto key = customers::bearer_key(request.authorization)) {
    customer = table->find_by_key(*key);
  } else if (!context.route->is_public) {
    return tl::unexpected(key.error());
  }
  request.authorization.clear();
  if (customer) {
    request.customer = customer->name;
    context.priority = customer->priority.value_or(context.priority);
  } else if (!context.route->is_public) {
    // Both daemons have the same version, so a peer's customer is known here
    // unless the store was restored in between.
    return is_from_peer
               ? fail(ErrorKind::kNotReady, "the peer's customer is unknown")
               : fail(ErrorKind::kUnauthorized, "no customer holds the key");
  }
  return {};
}

Result<Dispatcher::Context> Dispatcher::admit(CallerRequest request,
                                              bool is_from_peer) {
  if (!this->active_table) {
    return this->refuse(request, no_configuration(kNotReadyRetryAfter).value(),
                        nullptr);
  }
  auto context = std::make_shared<RequestContext>();
  context->table = this->active_table;
  context->route = this->active_table->find(request.host, request.path);
  if (!context->route) {
    return this->refuse(request, make_error(ErrorKind::kNotFound, "no route"),
                        nullptr);
  }
  const routing::Route& route = *context->route;
  if (auto identified = identify(*context, request, is_from_peer);
      !identified) {
    return this->refuse(request, std::move(identified.error()), &route);
  }
  context->final_deadline =
      std::min(request.deadline, request.received + route.time_limit);
  if (context->final_deadline <= Clock::now()) {
    Error error = make_error(ErrorKind::kDeadlineExceeded, "no time left");
    error.execution = Execution::kNotRun;
    return this->refuse(request, std::move(error), &route);
  }
  context->digest = digest_of(request);
  context->crashes = std::make_shared<quarantine::CrashWatch>(
      this->quarantined, context->digest, &unix_now);
  if (context->crashes->is_quarantined()) {
    Error error = make_error(
        ErrorKind::kQuarantined,
        "each leaf that ran " + context->digest.text() + " has ended");
    error.retry_after = context->crashes->remaining_quarantine();
    return this->refuse(request, std::move(error), &route);
  }
  if (!route.allowed_regions.empty()) {
    context->allowed_zones =
        zones_in(this->settings.zone_regions, route.allowed_regions);
  }
  context->due =
      answer_due(request.received, route.objective, request.opens_connection);
  context->request = std::move(request);
  this->set_share(*context);
  context->typical = this->typical_latency(route).call;
  context->typical_run = this->typical_latency(route).run;
  context->log = &this->log;
  context->metrics = &this->metrics;
  context->policy = &this->settings.policy;
  return context;
}

bool Dispatcher::has_leafs(const std::string& service) const {
  const auto group = this->groups.find(service);
  return group != this->groups.end() && !group->second->leafs().empty();
}

bool Dispatcher::can_route(const CallerRequest& request) const {
  if (!this->active_table || (!this->listed && this->leafs.empty())) {
    return false;
  }
  if (!this->expects_leafs) {
    return true;
  }
  const routing::Route* route =
      this->active_table->find(request.host, request.path);
  if (!route) {
    return true;
  }
  const std::vector<std::string> services = route->services();
  return std::all_of(
      services.begin(), services.end(),
      [this](const std::string& service) { return this->has_leafs(service); });
}

void Dispatcher::expect_leafs(bool expected) {
  this->expects_leafs = expected;
  this->notify_start_waiters();
}

Task<Result<void>> Dispatcher::wait_for_start(const CallerRequest& request) {
  // The route and its objective are not known yet.
  const TimePoint latest_start =
      request.received +
      scaled(request.deadline - request.received, kUnknownObjectiveShare);
  std::function<bool()> is_met = [this, &request] {
    return this->can_route(request);
  };
  const startup::StartWaiters::Result waited =
      co_await this->start_waiters->wait(
          startup::Need::kConfiguration, latest_start,
          request.message->body.size(), std::move(is_met));
  if (!this->active_table) {
    co_return no_configuration(waited.retry_after);
  }
  co_return Result<void>{};
}

void Dispatcher::notify_start_waiters() {
  if (this->start_waiters) {
    this->start_waiters->notify();
  }
}

Task<Outcome> Dispatcher::handle(CallerRequest request,
                                 std::shared_ptr<http::CancelToken> caller) {
  if (this->start_waiters && !this->can_route(request)) {
    if (auto ready = co_await this->wait_for_start(request); !ready) {
      co_return this->refuse(request, std::move(ready.error()), nullptr);
    }
  }
  auto context = this->admit(std::move(request), false);
  if (!context) {
    co_return tl::unexpected(std::move(context.error()));
  }
  if (caller->cancelled()) {
    co_return this->refuse((*context)->request,
                           cancelled_before_run(*caller->reason()),
                           (*context)->route);
  }
  if (auto within = co_await this->check_rate(*context); !within) {
    co_return this->refuse((*context)->request, std::move(within.error()),
                           (*context)->route);
  }
  if (caller->cancelled()) {
    co_return this->refuse((*context)->request,
                           cancelled_before_run(*caller->reason()),
                           (*context)->route);
  }
  for (int i = 0; i < kMaxDelegations && this->may_delegate(**context); ++i) {
    auto outcome = co_await this->delegate_query(*context, caller);
    if (outcome) {
      co_return *std::move(outcome);
    }
    if ((*context)->peer_attempts > 0 ||
        !this->settings.policy.gather_overflow) {
      break;
    }
  }
  co_return co_await this->run(*std::move(context), std::move(caller));
}

Task<Outcome> Dispatcher::gather(
    CallerRequest request,
    std::shared_ptr<const Confirmation> confirmation,
    std::shared_ptr<http::CancelToken> cancelled) {
  auto context = this->admit(std::move(request), true);
  if (!context) {
    co_return tl::unexpected(std::move(context.error()));
  }
  if (!(*context)->route->is_scatter()) {
    co_return this->refuse((*context)->request,
                           make_error(ErrorKind::kInvalidRequest,
                                      "only queries over shards are gathered"),
                           (*context)->route);
  }
  (*context)->confirmation = std::move(confirmation);
  (*context)->due -= kDelegationOverhead;
  co_return co_await this->run(*std::move(context), std::move(cancelled));
}

void Dispatcher::set_share(RequestContext& context) const {
  const customers::CustomerTable* table = context.table->customers();
  const customers::Customer* customer =
      table ? table->find_by_name(context.request.customer) : nullptr;
  if (customer && this->settings.policy.fair_shares) {
    context.share = {customer->name, table->weight_of(*customer),
                     context.request.customer_usage};
  }
}

Task<Result<void>> Dispatcher::check_rate(Context context) {
  const customers::CustomerTable* table = context->table->customers();
  const customers::Customer* customer =
      table ? table->find_by_name(context->request.customer) : nullptr;
  if (!customer || !customer->limit.is_limited() || !this->rates) {
    co_return Result<void>{};
  }
  const Duration stated = context->request.deadline - context->request.received;
  customers::StatedPatience& patience =
      this->typical_latency(*context->route).patience;
  patience.record(stated);
  const bool is_late = this->settings.policy.late_requests_last &&
                       patience.is_late(stated, context->route->objective);
  customers::RateCheck check{*customer,
                             context->table->version(),
                             context->due - context->typical_run->value(),
                             context->final_deadline,
                             is_late,
                             context->request.message->body.size()};
  check.request = context->request.id;
  const auto grant = co_await this->rates->admit(std::move(check));
  if (!grant) {
    co_return tl::unexpected(grant.error());
  }
  context->request.customer_usage = grant->usage;
  this->set_share(*context);
  co_return Result<void>{};
}

bool Dispatcher::may_delegate(const RequestContext& context) const {
  const ZoneNames* zones = context.zones();
  if (!this->delegate || (zones && !zones->contains(this->settings.zone)) ||
      !this->settings.policy.delegate_queries ||
      context.route->shards.size() < kMinShardsToDelegate) {
    return false;
  }
  const QueryDelegate::Needs needs = delegation_needs(context);
  const TimePoint now = Clock::now();
  const bool is_available = this->delegate->is_available(needs, now);
  if (!is_available && this->settings.policy.gather_overflow) {
    this->delegate->on_unavailable(needs, now);
  }
  return is_available;
}

Task<std::optional<Outcome>> Dispatcher::delegate_query(
    Context context,
    std::shared_ptr<http::CancelToken> caller) {
  QueryDelegate::Query query{context->request, delegation_needs(*context),
                             context->table->version(), context->due,
                             context->final_deadline};
  auto delegated = co_await this->delegate->run(std::move(query), caller);
  if (delegated.outcome) {
    const Outcome& outcome = *delegated.outcome;
    const bool partial =
        outcome && std::get<MergedAnswer>(*outcome).missing_shards > 0;
    record_request_end(
        *context, outcome, partial, Clock::now(),
        [](eventlog::Event& line) { line.with("delegated", true); });
    co_return std::move(delegated.outcome);
  }
  if (!delegated.may_have_run) {
    co_return std::nullopt;
  }
  // Without a confirmation, the peer calls at most one leaf of each shard.
  context->peer_attempts = 1;
  if (context->attempt_limit() == 0) {
    co_return this->refuse(
        context->request,
        make_error(ErrorKind::kOutcomeUnknown,
                   "a peer may have run it; one attempt only"),
        context->route);
  }
  co_return std::nullopt;
}

Task<Outcome> Dispatcher::run(Context context,
                              std::shared_ptr<http::CancelToken> caller) {
  if (caller->cancelled()) {
    Error error = cancelled_before_run(*caller->reason());
    if (context->peer_attempts > 0) {
      error.execution = Execution::kUnknown;
    }
    co_return this->refuse(context->request, std::move(error), context->route);
  }
  const bool is_scatter = context->route->is_scatter();
  auto groups = this->target_groups(*context->route);
  auto begin = [&](OutcomeHandler&& handler) {
    auto shared = std::make_shared<OutcomeHandler>(std::move(handler));
    RequestRun::Done done = [shared](Outcome outcome) {
      (*shared)(std::move(outcome));
    };
    std::shared_ptr<RequestRun> run;
    if (is_scatter) {
      run = std::make_shared<ScatterRun>(this->loop, context, std::move(groups),
                                         std::move(done));
    } else {
      run = std::make_shared<ForwardRun>(this->loop, context, std::move(groups),
                                         std::move(done));
    }
    caller->on_cancel([weak = std::weak_ptr(run)](http::CancelReason reason) {
      if (const auto live = weak.lock()) {
        live->cancel(reason);
      }
    });
    run->start();
  };
  co_return co_await asio::async_initiate<const asio::use_awaitable_t<>&,
                                          void(Outcome)>(std::move(begin),
                                                         asio::use_awaitable);
}

}  // namespace ibismux::dispatch
