#ifndef IBISMUX_ADMISSION_ADMISSION_METRICS_H_
#define IBISMUX_ADMISSION_ADMISSION_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/registry.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "ibismux/base/priority.h"

namespace ibismux::admission {

/// Outcome of an admission check.
enum class Decision : unsigned char {
  kAdmitted,
  kRateLimited,         ///< Refused by a rate rule.
  kConcurrencyLimited,  ///< Refused by the concurrency of a limit policy.
  kShed,                ///< Refused by the adaptive limit of the load group.
};

inline constexpr std::size_t kDecisionCount = 4;

/// The metrics of one service. Thread safe.
class ServiceMetrics {
 public:
  virtual ~ServiceMetrics() = default;

  virtual void record_decision(Decision decision) = 0;
  /// Sets the gauges for the service's load group.
  virtual void set_load(double limit, std::uint32_t in_flight) = 0;
};

/// The metric families of admission. Thread safe.
class AdmissionMetrics {
 public:
  /// @param metrics Must outlive the object and all metrics it returns.
  explicit AdmissionMetrics(prometheus::Registry& metrics);
  ~AdmissionMetrics();

  [[nodiscard]] std::shared_ptr<ServiceMetrics> service(const std::string& name,
                                                        Priority priority);

  /// The counter of requests that `policy` refused.
  [[nodiscard]] prometheus::Counter& refusal_counter(const std::string& policy);

  /// Sets how many counter sets are kept for services and callers.
  void set_table_size(std::size_t count);

 private:
  struct Families;
  std::unique_ptr<Families> families;
};

}  // namespace ibismux::admission

#endif  // IBISMUX_ADMISSION_ADMISSION_METRICS_H_
