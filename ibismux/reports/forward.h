#ifndef IBISMUX_REPORTS_FORWARD_H_
#define IBISMUX_REPORTS_FORWARD_H_

namespace ibismux::reports {

struct LeafReport;
class ReportAggregator;
class ReportExchange;
class ReportClient;

}  // namespace ibismux::reports

#endif  // IBISMUX_REPORTS_FORWARD_H_
