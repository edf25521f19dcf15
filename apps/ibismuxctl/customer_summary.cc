#include "customer_summary.h"

#include <algorithm>

#include "log_line.h"

namespace ibismux::ctl {

namespace {

std::uint64_t count(const LogLine& line, std::string_view key) {
  return static_cast<std::uint64_t>(std::max(0.0, line.number(key)));
}

void add_usage(const LogLine& line, CustomerSummary::Row& row) {
  if (line.at >= row.limit_at) {
    row.limit_at = line.at;
    row.per_second = line.number("per_second");
    row.burst = line.number("burst");
  }
  row.asked += count(line, "asked");
  row.granted += count(line, "granted");
  row.late += count(line, "late");
  row.owners.insert(line.host);
}

void add_end(const LogLine& line, CustomerSummary::Row& row) {
  const std::string outcome =
      line.text(line.event == "request_refused" ? "kind" : "outcome");
  if (outcome == "ok" || outcome == "partial") {
    return;
  }
  const bool has_no_owner =
      line.text("message").find("no owner of the limit") != std::string::npos;
  ++(outcome == "rate_limited" ? row.beyond_limit
     : has_no_owner            ? row.without_owner
     : outcome == "overloaded" ? row.overloaded
                               : row.other_losses);
}

}  // namespace

void CustomerSummary::add(const LogLine& line) {
  const std::string name = line.text("customer");
  if (name.empty()) {
    return;
  }
  const bool is_usage = line.event == "customer_usage";
  if (!is_usage && !line.ends_request()) {
    return;
  }
  Row& row = this->customers[name];
  row.customer = name;
  (is_usage ? add_usage : add_end)(line, row);
}

std::vector<CustomerSummary::Row> CustomerSummary::rows() const {
  std::vector<Row> all;
  for (const auto& [name, row] : this->customers) {
    all.push_back(row);
  }
  std::stable_sort(all.begin(), all.end(), [](const Row& a, const Row& b) {
    return a.asked > b.asked;
  });
  return all;
}

}  // namespace ibismux::ctl
