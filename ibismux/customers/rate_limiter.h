#ifndef IBISMUX_CUSTOMERS_RATE_LIMITER_H_
#define IBISMUX_CUSTOMERS_RATE_LIMITER_H_

#include <prometheus/registry.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "ibismux/base/ids.h"
#include "ibismux/customers/customer.h"
#include "ibismux/customers/customer_counters.h"
#include "ibismux/customers/messages.h"
#include "ibismux/customers/owner_refusals.h"
#include "ibismux/customers/owner_selector.h"
#include "ibismux/customers/rate_admission.h"
#include "ibismux/customers/rate_check.h"
#include "ibismux/customers/rate_grant.h"
#include "ibismux/customers/rate_owner.h"
#include "ibismux/customers/token_waiters.h"
#include "ibismux/customers/ungranted_allowance.h"
#include "ibismux/eventlog/forward.h"
#include "ibismux/membership/forward.h"
#include "ibismux/peer/peer_network.h"
#include "ibismux/startup/start_waiters.h"

namespace ibismux::customers {

/// Enforces the limits of customers for the whole fleet.
///
/// Each limit is owned in equal parts by a few daemons of different zones. For
/// each request, the daemon that received it asks the owners, the one of its
/// own zone first, until one grants the request. A daemon that reaches none of
/// them sends no more than a small share of what it was granted before.
/// docs/design/customers.md gives the reasons and the bound on the sum.
///
/// Belongs to one event loop, which is also the network's; not thread safe.
class RateLimiter : public RateAdmission,
                    public std::enable_shared_from_this<RateLimiter> {
 public:
  struct Settings {
    std::string member;
    std::string zone;
    RateTolerance tolerance;
    bool wait_for_token = false;  ///< See `TokenWait`.
    bool pace_returns = false;    ///< See `ReturnTimes`.
  };

  /// Precondition: the network has not started. All references outlive this
  /// object. @param network Null if this daemon has no peers.
  RateLimiter(peer::PeerNetwork* network,
              Settings settings,
              prometheus::Registry& registry,
              eventlog::EventLog& log);

  /// Registers the message handler. Call once, before the network starts.
  void start();

  /// Lets requests wait for owners while this daemon starts.
  /// @param waiters Outlives the requests.
  void set_start_waiters(startup::StartWaiters& waiters) {
    this->start_waiters = &waiters;
  }

  /// @param fleet_size The number of daemons, those that can't be reached
  /// included, as far as it is known.
  void on_view(const membership::MembershipView& view, std::size_t fleet_size);

  [[nodiscard]] Task<Result<RateGrant>> admit(RateCheck check) override;

  /// Ends all waits for tokens, because the daemon stops; no request waits from
  /// now on.
  void stop_waiting() { this->token_waiters.close(); }

  /// Logs what this daemon was asked for as an owner of limits since the last
  /// call, of the customers that asked most.
  void log_usage();

 private:
  /// What this daemon knows of one customer.
  struct State {
    explicit State(Duration window) : ungranted(window) {}

    UngrantedAllowance ungranted;
    OwnerRefusals refusals;
  };

  /// What the owners of one limit have said to one request.
  struct Round {
    bool granted = false;
    bool all_reached = true;  ///< Or skipped, since they refused just before.
    /// The earliest time at which an owner that refused has a token.
    std::optional<TimePoint> next_fit;
    std::string next_owner;  ///< The owner that has it.
    double usage = 0;        ///< As the owner that granted it has said.
    bool has_owners = false;
    std::vector<std::string> refused_by;
    std::vector<std::string> unreached;
    /// The oldest refusal that was remembered rather than asked for.
    std::optional<TimePoint> remembered_since;
  };

  /// One request's question to the owners.
  struct Question {
    RateRequest request;
    TimePoint deadline;  ///< No owner is asked later.
    /// The latest time of a token for which the request may wait.
    TimePoint latest_token;
    /// The owner for whose token it has waited; asked first, in any case.
    std::string promised_by;
  };

  /// Whether the request runs by the owners' answers, or without a grant.
  [[nodiscard]] bool is_allowed(const Customer& customer, const Round& round);
  /// Counts and logs a refusal. @return Why the request is refused.
  [[nodiscard]] Error refusal(const RateCheck& check,
                              const Round& round,
                              std::chrono::milliseconds no_owner_retry_after);
  void log_refusal(const RateCheck& check,
                   const Round& round,
                   const Error& error);
  /// Asks one owner after the other until one grants the request.
  [[nodiscard]] Task<Round> ask_owners(Question question);
  /// Waits while this daemon starts and knows no owners.
  /// @param seen The value of `views` when it knew none.
  [[nodiscard]] Task<startup::StartWaiters::Result> wait_for_owners(
      const RateCheck& check,
      std::uint64_t seen);
  /// Nothing if `owner` can't be reached.
  [[nodiscard]] Task<std::optional<RateReply>> ask(const std::string& owner,
                                                   const RateRequest& request,
                                                   TimePoint deadline);
  [[nodiscard]] RateReply decide(const RateRequest& request);
  /// The same for a request that this daemon has received itself.
  [[nodiscard]] std::optional<RateReply> decide_own(const RateRequest& request);
  [[nodiscard]] std::vector<std::string> owners_in_order(
      const std::string& customer);
  [[nodiscard]] State& state(const std::string& customer);
  void on_unreachable(const std::string& owner, std::string_view reason);

  peer::PeerNetwork* network;
  const Settings settings;
  eventlog::EventLog& log;
  startup::StartWaiters* start_waiters = nullptr;
  const TimePoint created = Clock::now();
  std::uint64_t views = 0;  ///< Changes of the members.
  OwnerSelector selector;
  RateOwner owned;
  TokenWaiters token_waiters;
  std::map<std::string, State> states;                 ///< By customer.
  std::map<std::string, TimePoint> unreachable_until;  ///< By owner.
  std::set<std::string> repliers;  ///< Owners that have replied once.
  CustomerCounters counters;
};

}  // namespace ibismux::customers

#endif  // IBISMUX_CUSTOMERS_RATE_LIMITER_H_
