#include "ibismux/reports/report_exchange.h"

#include <utility>

#include "ibismux/eventlog/event_log.h"
#include "ibismux/http/await_timer.h"
#include "ibismux/membership/membership_view.h"

namespace ibismux::reports {

namespace {

using peer::MessageKind;

// The calls of half a second suffice to tell a slow leaf from a slow call.
constexpr std::chrono::milliseconds kReportInterval{500};
// The same fan-out as for the distribution of updates from the store.
constexpr std::size_t kFanOut = 32;

}  // namespace

ReportExchange::ReportExchange(boost::asio::io_context& loop,
                               peer::PeerNetwork& network,
                               ReportClient& client,
                               eventlog::EventLog& log)
    : network(network),
      client(client),
      log(log),
      tree(1, kFanOut),
      timer(loop.get_executor()) {}

void ReportExchange::start() {
  this->network.on_notify(
      MessageKind::kLeafReports,
      [weak = this->weak_from_this()](const Incarnation& from,
                                      const std::string& payload) {
        const auto self = weak.lock();
        const auto reports = decode_reports(payload);
        if (self && reports) {
          self->handle_reports(*reports);
        } else if (self) {
          self->log.event(eventlog::Weight::kBelief, "leaf_reports_refused")
              .with("from", from.member)
              .with("reason", reports.error().message);
        }
      });
  this->exchange_reports();
}

void ReportExchange::on_view(const membership::MembershipView& view) {
  this->tree.rebuild(view);
}

void ReportExchange::exchange_reports() {
  const std::vector<LeafReport> own = this->client.take_reports();
  if (this->tree.parent()) {
    if (!own.empty()) {
      this->network.notify(*this->tree.parent(), MessageKind::kLeafReports,
                           encode(own));
    }
  } else {
    const TimePoint now = Clock::now();
    for (const LeafReport& report : own) {
      this->aggregator.add(report, now);
    }
    this->distribute(this->aggregator.summary(now));
  }
  this->timer.expires_after(kReportInterval);
  http::await_timer(this->timer, this->weak_from_this(),
                    &ReportExchange::exchange_reports);
}

void ReportExchange::handle_reports(const std::vector<LeafReport>& reports) {
  // With a parent, this daemon receives the summaries of the root of the tree.
  // Without one it is the root, and receives the reports of other daemons.
  if (this->tree.parent()) {
    this->distribute(reports);
    return;
  }
  const TimePoint now = Clock::now();
  for (const LeafReport& report : reports) {
    this->aggregator.add(report, now);
  }
}

void ReportExchange::distribute(const std::vector<LeafReport>& reports) {
  if (reports.empty()) {
    return;
  }
  for (const LeafReport& report : reports) {
    this->client.on_report(report);
  }
  const std::string payload = encode(reports);
  for (const std::string& child : this->tree.children()) {
    this->network.notify(child, MessageKind::kLeafReports, payload);
  }
}

}  // namespace ibismux::reports
