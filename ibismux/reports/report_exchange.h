#ifndef IBISMUX_REPORTS_REPORT_EXCHANGE_H_
#define IBISMUX_REPORTS_REPORT_EXCHANGE_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "ibismux/base/time.h"
#include "ibismux/eventlog/forward.h"
#include "ibismux/http/socket.h"
#include "ibismux/membership/spread_tree.h"
#include "ibismux/peer/peer_network.h"
#include "ibismux/reports/leaf_report.h"
#include "ibismux/reports/report_aggregator.h"

namespace ibismux::reports {

/// Produces reports of leafs and receives those of other daemons.
class ReportClient {
 public:
  virtual ~ReportClient() = default;
  /// Returns what was seen since the last call of leafs that are notable, or
  /// that peers have reported.
  [[nodiscard]] virtual std::vector<LeafReport> take_reports() = 0;
  virtual void on_report(const LeafReport& report) = 0;
};

/// Aggregates and distributes leaf reports among the daemons of a zone.
///
/// In a large fleet, each daemon makes only one or two calls a second to each
/// leaf, so on its own it would need several seconds to detect a slow leaf and
/// spend repeats all that time. All daemons of a zone together detect it within
/// one second. Daemons send their reports to the first daemon of the zone, the
/// root of a distribution tree, which sends the aggregated reports down the
/// tree. Both happen only while some leaf is notable.
///
/// Belongs to one event loop, which is also the network's; not thread safe.
class ReportExchange : public std::enable_shared_from_this<ReportExchange> {
 public:
  /// Precondition: the network has not started. All outlive this.
  ReportExchange(boost::asio::io_context& loop,
                 peer::PeerNetwork& network,
                 ReportClient& client,
                 eventlog::EventLog& log);

  /// Registers the message handler and starts the periodic exchange. To be
  /// called once, before the network starts.
  void start();

  /// Rebuilds the distribution tree after a change of the membership.
  void on_view(const membership::MembershipView& view);

 private:
  void exchange_reports();
  void handle_reports(const std::vector<LeafReport>& reports);
  void distribute(const std::vector<LeafReport>& reports);

  peer::PeerNetwork& network;
  ReportClient& client;
  eventlog::EventLog& log;
  membership::SpreadTree tree;
  ReportAggregator aggregator;
  http::Timer timer;
};

}  // namespace ibismux::reports

#endif  // IBISMUX_REPORTS_REPORT_EXCHANGE_H_
