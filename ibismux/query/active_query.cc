#include "ibismux/query/active_query.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "ibismux/base/fraction_budget.h"
#include "ibismux/gateway/leaf_caller.h"
#include "ibismux/release/release.h"

namespace ibismux::query {

namespace asio = boost::asio;

ActiveQuery::ActiveQuery(QueryContext context,
                         QueryRequest request,
                         std::shared_ptr<ServiceState> service,
                         const GatherPlan& plan,
                         asio::any_io_executor executor)
    : context(context),
      request(std::move(request)),
      service(std::move(service)),
      deadline(plan.deadlines.deadline()),
      gather(plan,
             GatherPolicies{context.replicas, this->service->policy,
                            context.retries}),
      executor(std::move(executor)),
      timer(this->executor) {}

void ActiveQuery::start(PinnedSnapshot pin,
                        Priority priority,
                        const std::shared_ptr<http::CancelToken>& cancel) {
  this->priority = priority;
  const std::uint64_t first =
      this->context.ids.reserve(Gather::ids_needed(pin));
  this->gather.start(std::move(pin), first, Clock::now());
  this->perform();
  if (cancel != nullptr) {
    cancel->on_cancel(
        [query = this->weak_from_this()](http::CancelReason reason) {
          if (const std::shared_ptr<ActiveQuery> alive = query.lock()) {
            alive->on_cancel(reason);
          }
        });
  }
}

Task<Result<QueryAnswer>> ActiveQuery::finish(
    std::shared_ptr<ActiveQuery> query) {
  while (!query->gather.finished()) {
    query->timer.expires_at(query->gather.next_wake());
    co_await query->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    query->on_timer();
  }
  Result<QueryAnswer> result = query->gather.take_result();
  query->service->metrics->query_ended(result, query->gather.counts(),
                                       Clock::now() - query->request.received,
                                       query->service->policy);
  co_return result;
}

void ActiveQuery::on_answer(const gateway::LeafAnswer& answer) {
  if (this->gather.finished()) {
    if (answer.body.has_value()) {
      this->service->metrics->answer_after_end();
    }
    return;
  }
  const TimePoint now = Clock::now();
  const TimePoint wake = this->gather.next_wake();
  if (answer.id.origin == this->context.ids.origin()) {
    this->gather.on_answer(answer, now);
  } else {
    this->gather.on_foreign_answer();
  }
  this->restart_if_wanted(now);
  this->perform();
  if (this->gather.finished() || this->gather.next_wake() < wake) {
    this->timer.cancel();
  }
}

void ActiveQuery::on_cancel(http::CancelReason reason) {
  if (reason == http::CancelReason::kStopping) {
    this->gather.on_stop();
  } else {
    this->gather.on_cancel(Clock::now());
  }
  this->perform();
  this->timer.cancel();
}

void ActiveQuery::on_timer() {
  const TimePoint now = Clock::now();
  if (this->gather.finished() || now < this->gather.next_wake()) {
    return;
  }
  this->gather.on_timer(now);
  this->restart_if_wanted(now);
  this->perform();
}

void ActiveQuery::restart_if_wanted(TimePoint now) {
  if (!this->gather.wants_restart(now)) {
    return;
  }
  std::optional<PinnedSnapshot> newer = this->context.table.newer_snapshot(
      this->request.service, this->gather.pin().snapshot->sequence);
  if (newer.has_value()) {
    const std::uint64_t first =
        this->context.ids.reserve(Gather::ids_needed(*newer));
    this->gather.start(*std::move(newer), first, now);
  }
}

void ActiveQuery::perform() {
  this->cancel(this->gather.take_cancels());
  this->send(this->gather.take_starts());
}

void ActiveQuery::send(const std::vector<GatherCall>& calls) {
  if (calls.empty()) {
    return;
  }
  const PinnedSnapshot& pin = this->gather.pin();
  gateway::LeafCallBatch batch;
  batch.origin = this->context.ids.origin();
  batch.kind = gateway::LeafCallKind::kQuery;
  batch.service = this->request.service;
  batch.snapshot = pin.snapshot->name;
  batch.priority = this->priority;
  batch.deadline = this->deadline;
  batch.body = this->request.body;
  batch.items.reserve(calls.size());
  for (const GatherCall& call : calls) {
    batch.items.push_back({call.sequence, pin.release->leafs[call.leaf].name,
                           pin.snapshot->shards[call.shard].name});
  }
  this->context.leafs.call(
      std::move(batch), this->executor,
      [query = this->shared_from_this()](const gateway::LeafAnswer& answer) {
        query->on_answer(answer);
      });
}

void ActiveQuery::cancel(const std::vector<std::uint64_t>& sequences) {
  if (sequences.empty()) {
    return;
  }
  std::vector<CallId> calls;
  calls.reserve(sequences.size());
  for (const std::uint64_t sequence : sequences) {
    calls.push_back({this->context.ids.origin(), sequence});
  }
  this->context.leafs.cancel(std::move(calls));
}

}  // namespace ibismux::query
