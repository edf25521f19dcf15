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
#include "ibismux/routing/split_rotation.h"

namespace ibismux::dispatch {

/// Takes callers' requests to leafs, by the configuration and the directory of
/// leafs as they are now.
///
/// Belongs to one event loop; not thread safe.
class Dispatcher : public directory::DirectoryListener,
                   public reports::ReportParty,
                   public QueryGatherer {
 public:
  /// All but `settings` outlive the dispatcher and its requests.
  Dispatcher(boost::asio::io_context& loop,
             const LeafConnector& connector,
             DispatchSettings settings,
             prometheus::Registry& registry,
             eventlog::EventLog& log);

  /// Puts a configuration in force for the requests that come from now on.
  /// @return False, and nothing changes, where it isn't newer than the one in
  /// force: in one run of a daemon the configuration never goes back.
  bool put_in_force(std::shared_ptr<const routing::RouteTable> table);

  /// The configuration in force, or null before the first.
  [[nodiscard]] const std::shared_ptr<const routing::RouteTable>& table()
      const noexcept {
    return this->in_force;
  }

  /// Which daemons share what leafs and services bear; the zone is filled in.
  void set_fleet(LinkSharers fleet);

  /// @name Gathering by peers
  /// @{
  /// Queries over many shards are handed to `delegate` where it is available.
  /// @param delegate Outlives the dispatcher's requests.
  void set_delegate(QueryDelegate& delegate) { this->delegate = &delegate; }
  [[nodiscard]] std::uint64_t configuration() const noexcept override {
    return this->in_force ? this->in_force->version() : 0;
  }
  [[nodiscard]] Task<Outcome> gather(
      CallerRequest request,
      std::shared_ptr<const Confirmation> confirmation,
      std::shared_ptr<http::CancelToken> cancelled) override;
  /// @}

  /// Replaces the zones whose leafs get no further requests. Calls under way
  /// there go on; links there are closed. A request that only leafs of such
  /// zones could serve is refused.
  void set_evacuated(ZoneNames zones);

  /// Takes over the budget of repeats, the cost of other zones and the zones'
  /// regions.
  void update_settings(const DispatchSettings& fresh);

  /// The requests under which leafs have ended.
  [[nodiscard]] quarantine::QuarantineTable& quarantine() noexcept {
    return this->quarantined;
  }

  /// Writes what was sent to leafs so far, and why calls left the zone.
  void log_sends() { this->metrics.log_sends(this->log); }

  /// @name DirectoryListener
  /// @{
  /// Leafs of the first listing are told in one line of the log: a large fleet
  /// writes some hundred of them at each daemon's start otherwise.
  void on_listing_begin() override;
  void on_listing_end() override;
  void on_leaf_updated(const directory::LeafEntry& entry) override;
  void on_leaf_removed(const std::string& id, std::string_view reason) override;
  void on_outdated_entry(const directory::LeafEntry& entry) override;
  /// @}

  /// @name ReportParty
  /// @{
  [[nodiscard]] std::vector<reports::LeafReport> take_reports() override;
  void on_report(const reports::LeafReport& report) override;
  /// @}

  /// Serves one request; ends by the caller's deadline and the route's limit.
  /// @param caller Tells when the caller goes.
  [[nodiscard]] Task<Outcome> handle(CallerRequest request,
                                     std::shared_ptr<http::CancelToken> caller);

 private:
  using Context = std::shared_ptr<RequestContext>;

  [[nodiscard]] std::shared_ptr<ServiceGroup> group(const std::string& service);
  [[nodiscard]] std::shared_ptr<TypicalLatency> typical(
      const routing::Route& route);
  [[nodiscard]] std::vector<std::shared_ptr<ServiceGroup>> targets(
      const routing::Route& route);
  void add_leaf(const directory::LeafEntry& entry);
  /// @param end How the leaf ends. Precondition: `id` is known.
  void drop_leaf(const std::string& id, void (Leaf::*end)());
  void log_leaf(std::string_view event, const directory::LeafEntry& entry);
  /// Tells of routes that no known zone may serve.
  void log_routes_without_zones();
  void share_repeats();
  void share_links();
  void share_links(const ServiceGroup& group);
  [[nodiscard]] Duration report_half_life();

  /// What is known of a request at its arrival, or why it is refused.
  [[nodiscard]] Result<Context> admit(CallerRequest request);
  [[nodiscard]] bool may_delegate(const RequestContext& context) const;
  /// Has a peer gather the query. @return Nothing where it is to be gathered
  /// here, with the attempts that `context` then says.
  [[nodiscard]] Task<std::optional<Outcome>> delegate_query(
      Context context,
      std::shared_ptr<http::CancelToken> caller);
  /// Serves a request here.
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

  std::shared_ptr<const routing::RouteTable> in_force;
  std::map<std::string, std::shared_ptr<ServiceGroup>> groups;
  std::map<std::string, std::shared_ptr<Leaf>> leafs;  ///< By id.
  quarantine::QuarantineTable quarantined;
  ZoneNames evacuated;
  bool in_first_listing = false;
  std::shared_ptr<LinkOpener> opener;
  QueryDelegate* delegate = nullptr;
  std::map<std::string, std::shared_ptr<TypicalLatency>> latencies;
  std::map<std::string, routing::SplitRotation> splits;
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_DISPATCHER_H_
