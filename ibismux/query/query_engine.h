#ifndef IBISMUX_QUERY_QUERY_ENGINE_H_
#define IBISMUX_QUERY_QUERY_ENGINE_H_

#include <prometheus/registry.h>

#include <cstdint>
#include <memory>

#include "ibismux/base/error.h"
#include "ibismux/base/rcu_cell.h"
#include "ibismux/base/task.h"
#include "ibismux/gateway/forward.h"
#include "ibismux/http/cancel_token.h"
#include "ibismux/query/query_answer.h"
#include "ibismux/query/query_request.h"
#include "ibismux/release/forward.h"

namespace ibismux::query {

/// Runs queries: pins a snapshot, calls its shards with hedges and retries, and
/// merges their answers.
///
/// Thread safe; a query stays on the event loop on which it was started.
class QueryEngine {
 public:
  /// @param origin Random number that identifies this run of the daemon; prefix
  /// of call ids.
  /// All references outlive the engine.
  QueryEngine(std::uint64_t origin,
              const RcuCell<release::Release>& releases,
              gateway::LeafCaller& leafs,
              prometheus::Registry& metrics);
  ~QueryEngine();

  /// Runs `request`. Ends at once with kCancelled when `cancel` is cancelled.
  /// Errors: kNotFound, kNotReady, kDeadlineExceeded, kCoverageTooLow,
  /// kOverloaded, kCancelled.
  [[nodiscard]] Task<Result<QueryAnswer>> run(
      QueryRequest request,
      std::shared_ptr<http::CancelToken> cancel);

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace ibismux::query

#endif  // IBISMUX_QUERY_QUERY_ENGINE_H_
