#ifndef IBISMUX_DISPATCH_DISPATCHER_H_
#define IBISMUX_DISPATCH_DISPATCHER_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <string>

#include "ibismux/base/task.h"
#include "ibismux/base/zone_sizes.h"
#include "ibismux/customers/forward.h"
#include "ibismux/customers/stated_patience.h"
#include "ibismux/directory/leaf_directory.h"
#include "ibismux/dispatch/answer.h"
#include "ibismux/dispatch/caller_request.h"
#include "ibismux/dispatch/dispatch_metrics.h"
#include "ibismux/dispatch/dispatch_settings.h"
#include "ibismux/dispatch/leaf.h"
#include "ibismux/dispatch/link_opener.h"
#include "ibismux/dispatch/link_plan.h"
#include "ibismux/dispatch/query_delegate.h"
#include "ibismux/dispatch/query_gatherer.h"
#include "ibismux/dispatch/request_context.h"
#include "ibismux/dispatch/service_group.h"
#include "ibismux/dispatch/typical_latency.h"
#include "ibismux/eventlog/forward.h"
#include "ibismux/http/forward.h"
#include "ibismux/quarantine/quarantine_table.h"
#include "ibismux/reports/report_exchange.h"
#include "ibismux/routing/route_table.h"
#include "ibismux/routing/weighted_round_robin.h"
#include "ibismux/startup/forward.h"

namespace ibismux::dispatch {

/// Routes callers' requests to leafs according to the active configuration and
/// the current state of the leaf directory.
///
/// Belongs to one event loop; not thread safe.
class Dispatcher : public directory::DirectoryListener,
                   public reports::ReportClient,
                   public QueryGatherer {
 public:
  /// All but `settings` outlive the dispatcher and its requests.
  Dispatcher(boost::asio::io_context& loop,
             const LeafConnector& connector,
             DispatchSettings settings,
             prometheus::Registry& registry,
             eventlog::EventLog& log);

  /// Activates a configuration for all requests that arrive from now on.
  /// @return False, without any effect, if it isn't newer than the active one:
  /// during one run of a daemon the configuration version never decreases.
  bool activate(std::shared_ptr<const routing::RouteTable> table);

  /// The active configuration, or null before the first one.
  [[nodiscard]] const std::shared_ptr<const routing::RouteTable>& table()
      const noexcept {
    return this->active_table;
  }

  /// Sets the daemons among which the links and repeats that leafs and services
  /// allow are divided. Its `zone` is ignored: this daemon's zone is used.
  void set_fleet(LinkSharers fleet);

  /// @name Gathering by peers
  /// @{
  /// Sets the delegate that queries over many shards are passed to whenever it
  /// is available.
  /// @param delegate Outlives the dispatcher's requests.
  void set_delegate(QueryDelegate& delegate) { this->delegate = &delegate; }
  [[nodiscard]] std::uint64_t configuration() const noexcept override {
    return this->active_table ? this->active_table->version() : 0;
  }
  [[nodiscard]] Task<Outcome> gather(
      CallerRequest request,
      std::shared_ptr<const Confirmation> confirmation,
      std::shared_ptr<http::CancelToken> cancelled) override;
  /// @}

  /// Sets what enforces the limits of customers. Without it, customers are not
  /// limited.
  /// @param rates Outlives the dispatcher's requests.
  void set_rates(customers::RateAdmission& rates) { this->rates = &rates; }

  /// Lets requests wait for the configuration and the leafs while this daemon
  /// starts. Without it, they are refused.
  /// @param waiters Outlives the dispatcher's requests.
  void set_start_waiters(startup::StartWaiters& waiters) {
    this->start_waiters = &waiters;
  }

  /// Sets whether missing leafs may become known at any moment. Meanwhile,
  /// requests to services without leafs wait as far as the start of this daemon
  /// lets them.
  void expect_leafs(bool expected);

  /// Replaces the set of evacuated zones, whose leafs get no further requests.
  /// Calls in progress there continue; links there are closed. A request that
  /// only leafs of evacuated zones could serve is refused.
  void set_evacuated(ZoneNames zones);

  /// Applies changes to the repeat budget, the cost of remote zones and the
  /// regions of zones; all other settings are ignored.
  void update_settings(const DispatchSettings& updated);

  /// Requests during which the processes of leafs have ended.
  [[nodiscard]] quarantine::QuarantineTable& quarantine() noexcept {
    return this->quarantined;
  }

  /// Logs how many calls were sent to leafs, by cause and by zone exit.
  void log_sends() { this->metrics.log_sends(this->log); }

  /// @name DirectoryListener
  /// @{
  /// All leafs of the first listing are logged in one line. One line each would
  /// be hundreds of lines at every daemon start in a large fleet.
  void on_listing_begin() override;
  void on_listing_end() override;
  void on_leaf_updated(const directory::LeafEntry& entry) override;
  void on_leaf_removed(const std::string& id, std::string_view reason) override;
  void on_outdated_entry(const directory::LeafEntry& entry) override;
  /// @}

  /// @name ReportClient
  /// @{
  [[nodiscard]] std::vector<reports::LeafReport> take_reports() override;
  void on_report(const reports::LeafReport& report) override;
  /// @}

  /// Serves one request. Completes by the caller's deadline or the time limit
  /// of the route, whichever is earlier.
  /// @param caller Cancelled when the caller disconnects.
  [[nodiscard]] Task<Outcome> handle(CallerRequest request,
                                     std::shared_ptr<http::CancelToken> caller);

 private:
  using Context = std::shared_ptr<RequestContext>;

  [[nodiscard]] std::shared_ptr<ServiceGroup> group(const std::string& service);
  struct RouteLatency {
    std::shared_ptr<TypicalLatency> call;
    std::shared_ptr<TypicalLatency> run;
    /// How long the callers of the route wait.
    customers::StatedPatience patience;
  };

  [[nodiscard]] RouteLatency& typical_latency(const routing::Route& route);
  [[nodiscard]] std::vector<std::shared_ptr<ServiceGroup>> target_groups(
      const routing::Route& route);
  void add_leaf(const directory::LeafEntry& entry);
  /// @param end Called on the removed leaf. Precondition: `id` is known.
  void drop_leaf(const std::string& id, void (Leaf::*end)());
  void log_leaf(std::string_view event, const directory::LeafEntry& entry);
  /// Logs the routes whose allowed regions contain no known zone.
  void log_routes_without_zones();
  void update_repeat_budgets();
  void distribute_links();
  void distribute_links(const ServiceGroup& group);
  [[nodiscard]] Duration report_half_life();

  /// Whether the configuration and the leafs are known that `request` needs.
  [[nodiscard]] bool can_route(const CallerRequest& request) const;
  [[nodiscard]] bool has_leafs(const std::string& service) const;
  /// Waits until `can_route()`, as far as the start of this daemon lets
  /// requests wait. @return An error if there is no configuration then.
  [[nodiscard]] Task<Result<void>> wait_for_start(const CallerRequest& request);
  void notify_start_waiters();

  /// Creates the context of a request that has arrived, or refuses it.
  /// @param is_from_peer A peer has identified the customer.
  [[nodiscard]] Result<Context> admit(CallerRequest request, bool is_from_peer);
  /// Sets the customer and priority of the request, and restores its
  /// `Authorization` fields if there are no customers.
  [[nodiscard]] static Result<void> identify(RequestContext& context,
                                             CallerRequest& request,
                                             bool is_from_peer);
  /// Sets the customer's claim among the requests of the same priority.
  void set_share(RequestContext& context) const;
  /// Counts the request against the limit of its customer, and sets how much of
  /// the limit the customer asks for.
  [[nodiscard]] Task<Result<void>> check_rate(Context context);
  [[nodiscard]] bool may_delegate(const RequestContext& context) const;
  /// Has a peer gather the query. @return Nothing if it must be gathered here,
  /// with no more attempts than `context` then allows.
  [[nodiscard]] Task<std::optional<Outcome>> delegate_query(
      Context context,
      std::shared_ptr<http::CancelToken> caller);
  /// Serves an admitted request on this daemon.
  [[nodiscard]] Task<Outcome> run(Context context,
                                  std::shared_ptr<http::CancelToken> caller);
  /// Counts and logs a refusal. @return `error`.
  [[nodiscard]] tl::unexpected<Error> refuse(const CallerRequest& request,
                                             Error error,
                                             const routing::Route* route);

  boost::asio::io_context& loop;
  const LeafConnector& connector;
  DispatchSettings settings;
  LinkSharers fleet;
  DispatchMetrics metrics;
  eventlog::EventLog& log;
  pcg32 random;

  std::shared_ptr<const routing::RouteTable> active_table;
  std::map<std::string, std::shared_ptr<ServiceGroup>> groups;
  std::map<std::string, std::shared_ptr<Leaf>> leafs;  ///< By id.
  quarantine::QuarantineTable quarantined;
  ZoneNames evacuated;
  bool in_first_listing = false;
  bool listed = false;  ///< The leafs have been listed once.
  bool expects_leafs = false;
  std::shared_ptr<LinkOpener> opener;
  QueryDelegate* delegate = nullptr;
  customers::RateAdmission* rates = nullptr;
  startup::StartWaiters* start_waiters = nullptr;
  std::map<std::string, RouteLatency> latencies;  ///< By route.
  std::map<std::string, routing::WeightedRoundRobin> splits;
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_DISPATCHER_H_
