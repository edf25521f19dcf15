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

  /// A query ended.
  virtual void query_ended(const Result<QueryAnswer>& result,
                           const GatherCounts& counts,
                           Duration took,
                           const ServicePolicy& policy) = 0;

  /// An answer came for a query that has ended already.
  virtual void answer_after_end() = 0;
};

/// The metric families of queries. Thread safe.
class QueryMetrics {
 public:
  /// @param metrics Outlives the object and all that it hands out.
  explicit QueryMetrics(prometheus::Registry& metrics);
  ~QueryMetrics();

  [[nodiscard]] std::unique_ptr<ServiceMetrics> service(
      const std::string& name);

  /// Tokens left in the retry budget that all services share.
  void retry_tokens(double tokens);

 private:
  struct Families;
  std::unique_ptr<Families> families;
};

}  // namespace ibismux::query

#endif  // IBISMUX_QUERY_QUERY_METRICS_H_
