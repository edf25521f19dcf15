#ifndef IBISMUX_CUSTOMERS_CUSTOMER_COUNTERS_H_
#define IBISMUX_CUSTOMERS_CUSTOMER_COUNTERS_H_

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/registry.h>

#include <array>
#include <cstddef>
#include <map>
#include <string>

namespace ibismux::customers {

/// How a limit was applied to a request.
enum class RateResult : unsigned char {
  kGranted,    ///< By an owner of the limit.
  kUngranted,  ///< Sent without a grant, as no owner could be reached.
  kRefused,    ///< Beyond the limit.
  kUndecided,  ///< Refused, as no owner could be reached.
};
inline constexpr std::size_t kRateResults = 4;

/// Counts requests by how limits were applied: in all, and by customer for the
/// first customers that were refused `kMinRefusals` times. A customer keeps its
/// own counters once it has them; the number of such customers is bounded, all
/// others are counted together.
///
/// Not thread safe, but metrics may be read from other threads.
class CustomerCounters {
 public:
  /// Customers with counters of their own.
  static constexpr std::size_t kMaxCustomers = 20;
  /// A customer gets counters of its own with this many refusals.
  static constexpr std::size_t kMinRefusals = 10;
  /// Customers whose refusals are counted until they have counters of their
  /// own. When one more is refused, all these counts start again.
  static constexpr std::size_t kMaxNames = 1000;
  /// The label of all other customers. No customer has an empty name.
  static constexpr const char* kOthers = "";

  /// @param registry Outlives this object.
  explicit CustomerCounters(prometheus::Registry& registry);

  /// Counts one request. Those before a customer has counters of its own stay
  /// with the others. Precondition: `customer` isn't empty.
  void count(const std::string& customer, RateResult result);

 private:
  using Row = std::array<prometheus::Counter*, kRateResults>;

  [[nodiscard]] Row add_row(const std::string& customer);
  /// The row of a customer, or that of all without one of their own.
  [[nodiscard]] const Row& row(const std::string& customer, RateResult result);

  prometheus::Family<prometheus::Counter>& by_result;
  prometheus::Family<prometheus::Counter>& by_customer;
  Row all{};
  Row others;
  std::map<std::string, Row> rows;
  /// Of customers without a row; bounded.
  std::map<std::string, std::size_t> refusals;
};

}  // namespace ibismux::customers

#endif  // IBISMUX_CUSTOMERS_CUSTOMER_COUNTERS_H_
