#ifndef IBISMUX_APPS_IBISMUXCTL_CUSTOMER_SUMMARY_H_
#define IBISMUX_APPS_IBISMUXCTL_CUSTOMER_SUMMARY_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace ibismux::ctl {

struct LogLine;

/// What logs of ibismux-edge daemons say of each customer: what its limit's
/// owners were asked for, and what its callers were refused.
class CustomerSummary {
 public:
  struct Row {
    std::string customer;
    std::chrono::milliseconds limit_at{0};  ///< Of the line with the limit.
    double per_second = 0;  ///< Of the newest line; 0 if no owner names it.
    double burst = 0;
    std::uint64_t asked = 0;  ///< By owners, of which a request may ask three.
    std::uint64_t granted = 0;        ///< By owners.
    std::uint64_t late = 0;           ///< Of `asked`, those late in any case.
    std::uint64_t beyond_limit = 0;   ///< Requests with 429.
    std::uint64_t without_owner = 0;  ///< 503: no owner of the limit reached.
    std::uint64_t overloaded = 0;     ///< 503: queues before leafs too long.
    std::uint64_t other_losses = 0;   ///< Neither refused so nor answered.
    std::set<std::string> owners;     ///< Hosts.
  };

  void add(const LogLine& line);

  /// Those that asked most first.
  [[nodiscard]] std::vector<Row> rows() const;

 private:
  std::map<std::string, Row> customers;
};

}  // namespace ibismux::ctl

#endif  // IBISMUX_APPS_IBISMUXCTL_CUSTOMER_SUMMARY_H_
