#include "ibismux/query/query_engine.h"

#include <boost/asio/this_coro.hpp>
#include <utility>

#include "ibismux/base/fraction_budget.h"
#include "ibismux/gateway/leaf_caller.h"
#include "ibismux/query/active_query.h"
#include "ibismux/query/replica_choice.h"
#include "ibismux/release/release.h"

namespace ibismux::query {

namespace {

using std::chrono::milliseconds;

/// Capacity of the retry budget that all services share, in retries.
constexpr double kRetryBurst = 100;
/// Retries available right after a start.
constexpr double kInitialRetries = 10;
/// `retry_after` while there is no configuration or no servable snapshot.
constexpr milliseconds kNotReadyRetryAfter{1000};

tl::unexpected<Error> not_ready(std::string message) {
  Error error = make_error(ErrorKind::kNotReady, std::move(message));
  error.retry_after = kNotReadyRetryAfter;
  return tl::unexpected<Error>(std::move(error));
}

}  // namespace

class QueryEngine::Impl {
 public:
  Impl(std::uint64_t origin,
       const RcuCell<release::Release>& releases,
       gateway::LeafCaller& leafs,
       prometheus::Registry& metrics)
      : leafs(leafs),
        ids(origin),
        metrics(metrics),
        table(releases, this->metrics),
        retries(kRetryBurst, kInitialRetries) {}

  Task<Result<QueryAnswer>> run(QueryRequest request,
                                std::shared_ptr<http::CancelToken> cancel);

 private:
  gateway::LeafCaller& leafs;
  CallIdSource ids;
  QueryMetrics metrics;
  PolicyTable table;
  CheaperOfTwo replicas;
  FractionBudget retries;
};

Task<Result<QueryAnswer>> QueryEngine::Impl::run(
    QueryRequest request,
    std::shared_ptr<http::CancelToken> cancel) {
  const std::shared_ptr<const PolicySet> set = this->table.current();
  if (set->release->generation == 0) {
    co_return not_ready("no configuration yet");
  }
  const auto found = set->release->services.find(request.service);
  if (found == set->release->services.end()) {
    co_return fail(ErrorKind::kNotFound, "no service " + request.service);
  }
  const release::ServiceView& service = *found->second;
  if (service.snapshots.empty()) {
    co_return not_ready("no servable snapshot of " + request.service);
  }
  const GatherPlan plan =
      make_gather_plan(request, service.spec, this->ids.reserve(1));
  const auto executor = co_await boost::asio::this_coro::executor;
  auto query = std::make_shared<ActiveQuery>(
      QueryContext{this->table, this->leafs, this->ids, this->replicas,
                   this->retries},
      std::move(request), set->services.find(service.spec.name)->second, plan,
      executor);
  query->start(
      PinnedSnapshot{set->release, service.snapshots.front(), set->leafs},
      service.spec.priority, cancel);
  Result<QueryAnswer> result = co_await ActiveQuery::finish(query);
  this->metrics.retry_tokens(this->retries.tokens());
  co_return result;
}

QueryEngine::QueryEngine(std::uint64_t origin,
                         const RcuCell<release::Release>& releases,
                         gateway::LeafCaller& leafs,
                         prometheus::Registry& metrics)
    : impl(std::make_unique<Impl>(origin, releases, leafs, metrics)) {}
QueryEngine::~QueryEngine() = default;

Task<Result<QueryAnswer>> QueryEngine::run(
    QueryRequest request,
    std::shared_ptr<http::CancelToken> cancel) {
  return this->impl->run(std::move(request), std::move(cancel));
}

}  // namespace ibismux::query
