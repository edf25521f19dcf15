#include "apps/ibismuxctl/customer_summary.h"

#include <string>

#include "apps/ibismuxctl/log_line.h"

#include <criterion/criterion.h>

namespace ibismux::ctl {
namespace {

/// Adds a line of host `host`; `fields` begin with a comma.
void add(CustomerSummary& summary,
         const std::string& host,
         const std::string& event,
         const std::string& fields) {
  const auto line =
      parse_log_line(R"({"time":"2026-02-11T13:22:52.723Z","host":")" + host +
                     R"(","event":")" + event + "\"" + fields + "}");
  cr_assert(line);
  summary.add(*line);
}

// Guards against an operator who can't tell which customer is refused, and why.
Test(customer_summary, counts_demand_and_refusals_by_customer) {
  CustomerSummary summary;
  add(summary, "h1", "customer_usage",
      R"(,"customer":"a","per_second":7,"burst":2,"asked":30,"granted":28,"late":1)");
  for (const std::string host : {"h1", "h2"}) {
    add(summary, host, "customer_usage",
        R"(,"customer":"b","per_second":61,"burst":5,"asked":300,"granted":100,"late":40)");
  }
  add(summary, "h3", "request_refused",
      R"(,"customer":"b","kind":"rate_limited","message":"beyond the limit")");
  add(summary, "h3", "request_refused",
      R"(,"customer":"b","kind":"not_ready","message":"no owner of the limit can be reached")");
  add(summary, "h3", "request_end",
      R"(,"customer":"b","outcome":"overloaded")");
  add(summary, "h3", "request_end", R"(,"customer":"b","outcome":"ok")");
  add(summary, "h3", "request_end",
      R"(,"customer":"b","outcome":"deadline_exceeded")");
  add(summary, "h3", "request_end", R"(,"outcome":"deadline_exceeded")");
  const auto rows = summary.rows();
  cr_assert(rows.size() == 2);
  const CustomerSummary::Row& most = rows.front();
  cr_assert(most.customer == "b");
  cr_assert(most.per_second == 61 && most.burst == 5);
  cr_assert(most.asked == 600 && most.granted == 200 && most.late == 80);
  cr_assert(most.owners.size() == 2);
  cr_assert(most.beyond_limit == 1 && most.without_owner == 1);
  cr_assert(most.overloaded == 1 && most.other_losses == 1);
}

}  // namespace
}  // namespace ibismux::ctl
