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
#include "ibismux/reports/report_board.h"

namespace ibismux::reports {

/// Sees leafs, and wants to know what others see.
class ReportParty {
 public:
  virtual ~ReportParty() = default;
  /// What was seen since the last call: leafs that are notable, or that others
  /// hold to be.
  [[nodiscard]] virtual std::vector<LeafReport> take_reports() = 0;
  virtual void on_report(const LeafReport& report) = 0;
};

/// Puts together what the daemons of a zone see of leafs.
///
/// A daemon of a large fleet has a call or two a second for each leaf, and
/// learns that one is slow only after several seconds, each of which spends
/// repeats; all of its zone together know it within one. Reports go up to the
/// first daemon of the zone, and what they add up to comes down its tree, both
/// only while some leaf is notable.
///
/// Belongs to one event loop, which is also the network's; not thread safe.
class ReportExchange : public std::enable_shared_from_this<ReportExchange> {
 public:
  /// Precondition: the network has not started. All outlive this.
  ReportExchange(boost::asio::io_context& loop,
                 peer::PeerNetwork& network,
                 ReportParty& party,
                 eventlog::EventLog& log);

  /// Registers the handler and begins. Called once, before the network starts.
  void start();

  /// The members have changed.
  void on_view(const membership::MembershipView& view);

 private:
  void tick();
  void take(const std::vector<LeafReport>& reports);
  void spread(const std::vector<LeafReport>& reports);

  peer::PeerNetwork& network;
  ReportParty& party;
  eventlog::EventLog& log;
  membership::SpreadTree tree;
  ReportBoard board;
  http::Timer timer;
};

}  // namespace ibismux::reports

#endif  // IBISMUX_REPORTS_REPORT_EXCHANGE_H_
