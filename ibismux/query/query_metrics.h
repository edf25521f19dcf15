#ifndef IBISMUX_QUERY_QUERY_METRICS_H_
#define IBISMUX_QUERY_QUERY_METRICS_H_

#include <prometheus/registry.h>

#include <memory>
#include <string>

#include "ibismux/base/error.h"
#include "ibismux/base/time.h"
#include "ibismux/query/forward.h"
#include "ibismux/query/query_answer.h"

namespace ibismux::query {

/// The metrics of one service. Thread safe.
class ServiceMetrics {
 public:
  virtual ~ServiceMetrics() = default;

  /// Counts a query that has ended.
  virtual void query_ended(const Result<QueryAnswer>& result,
                           const GatherCounts& counts,
                           Duration took,
                           const ServicePolicy& policy) = 0;

  /// Counts an answer that arrived after its query had ended.
  virtual void answer_after_end() = 0;
};

/// The query metrics of all services. Thread safe.
class QueryMetrics {
 public:
  /// @param metrics Outlives this object and all `ServiceMetrics` from it.
  explicit QueryMetrics(prometheus::Registry& metrics);
  ~QueryMetrics();

  [[nodiscard]] std::unique_ptr<ServiceMetrics> service(
      const std::string& name);

  /// Sets the number of tokens left in the shared retry budget of all services.
  void retry_tokens(double tokens);

 private:
  struct Families;
  std::unique_ptr<Families> families;
};

}  // namespace ibismux::query

#endif  // IBISMUX_QUERY_QUERY_METRICS_H_
