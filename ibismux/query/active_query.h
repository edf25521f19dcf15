#ifndef IBISMUX_QUERY_ACTIVE_QUERY_H_
#define IBISMUX_QUERY_ACTIVE_QUERY_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "ibismux/base/forward.h"
#include "ibismux/base/priority.h"
#include "ibismux/base/task.h"
#include "ibismux/gateway/forward.h"
#include "ibismux/http/cancel_token.h"
#include "ibismux/query/call_id_source.h"
#include "ibismux/query/gather.h"
#include "ibismux/query/policy_table.h"
#include "ibismux/query/query_request.h"

namespace ibismux::query {

/// Objects that all queries share. All of them outlive every query.
struct QueryContext {
  PolicyTable& table;
  gateway::LeafCaller& leafs;
  CallIdSource& ids;
  const ReplicaChoice& replicas;
  FractionBudget& retries;
};

/// A running query: performs the actions that its `Gather` decides on, and
/// waits on one timer.
///
/// Belongs to the event loop of its caller; not thread safe. The sinks of its
/// calls keep it alive until the last call has ended.
class ActiveQuery : public std::enable_shared_from_this<ActiveQuery> {
 public:
  /// @param executor Executor of the event loop that the query runs on.
  ActiveQuery(QueryContext context,
              QueryRequest request,
              std::shared_ptr<ServiceState> service,
              const GatherPlan& plan,
              boost::asio::any_io_executor executor);

  /// Sends the first calls to all shards of `pin`. Precondition: called once.
  /// @param cancel May be null.
  void start(PinnedSnapshot pin,
             Priority priority,
             const std::shared_ptr<http::CancelToken>& cancel);

  /// Waits until the query has ended and returns its result. Precondition:
  /// started; called once.
  [[nodiscard]] static Task<Result<QueryAnswer>> finish(
      std::shared_ptr<ActiveQuery> query);

 private:
  void on_answer(const gateway::LeafAnswer& answer);
  void on_cancel(http::CancelReason reason);
  void on_timer();
  /// Restarts the query if shards no longer hold the pinned snapshot and this
  /// daemon knows a newer one.
  void restart_if_wanted(TimePoint now);
  void perform();
  void send(const std::vector<GatherCall>& calls);
  void cancel(const std::vector<std::uint64_t>& sequences);

  QueryContext context;
  QueryRequest request;
  std::shared_ptr<ServiceState> service;
  TimePoint deadline;
  Gather gather;
  Priority priority = Priority::kCatalogue;
  boost::asio::any_io_executor executor;
  boost::asio::steady_timer timer;
};

}  // namespace ibismux::query

#endif  // IBISMUX_QUERY_ACTIVE_QUERY_H_
