#include "ibismux/reports/leaf_report.h"

#include <utility>

#include "ibismux/peer/thrift_codec.h"
#include "ibismux/reports/gen/reports_types.h"

namespace ibismux::reports {

std::string encode(const std::vector<LeafReport>& reports) {
  std::vector<wire::Report> rows;
  for (const LeafReport& report : reports) {
    wire::Report row;
    row.__set_leaf_id(report.run.id);
    row.__set_started_ms(report.run.started.count());
    row.__set_samples(report.samples);
    row.__set_excess(report.excess);
    row.__set_failures(report.failures);
    rows.push_back(std::move(row));
  }
  wire::Reports out;
  out.__set_reports(rows);
  return peer::encode(out);
}

Result<std::vector<LeafReport>> decode_reports(const std::string& payload) {
  const auto message = peer::decode<wire::Reports>(payload);
  if (!message) {
    return tl::unexpected(message.error());
  }
  std::vector<LeafReport> reports;
  for (const wire::Report& row : message->reports) {
    // Negated comparisons, so that NaN is rejected as well.
    if (!(row.samples > 0) || !(row.excess >= 0) || !(row.failures >= 0)) {
      return fail(ErrorKind::kProtocolError, "malformed report of a leaf");
    }
    reports.push_back({{row.leaf_id, std::chrono::milliseconds(row.started_ms)},
                       row.samples,
                       row.excess,
                       row.failures});
  }
  return reports;
}

}  // namespace ibismux::reports
