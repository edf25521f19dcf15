#include "apps/bench-policy/sim_daemon.h"

#include <algorithm>
#include <set>
#include <unordered_map>
#include <utility>

#include "ibismux/base/fraction_budget.h"

namespace ibismux::bench {

namespace {

constexpr double kRetryBurst = 100;
/// More than shards, so that an answer shows the hit of each.
constexpr std::size_t kMostHits = 1000;

std::shared_ptr<const membership::MembershipView> view_of(
    const std::string& self,
    std::size_t fleet) {
  auto view = std::make_shared<membership::MembershipView>();
  view->self = self;
  for (std::size_t i = 0; i < fleet; ++i) {
    view->members.push_back({"d" + std::to_string(i)});
  }
  return view;
}

query::GatherPlan plan_of(const release::QueryService& spec,
                          TimePoint now,
                          std::uint64_t seed) {
  std::optional<TimePoint> answer_by;
  if (spec.answer_by.has_value()) {
    answer_by = now + *spec.answer_by;
  }
  return {
      query::DeadlinePolicy(now + spec.deadline, answer_by, spec.min_coverage),
      kMostHits, seed};
}

bool is_mixed(const query::QueryAnswer& answer) {
  return std::any_of(
      answer.hits.begin(), answer.hits.end(),
      [&answer](const query::Hit& hit) { return hit.text != answer.snapshot; });
}

/// Each shard of the simulation gives one hit, which bears its name.
bool is_false_coverage(const query::QueryAnswer& answer) {
  std::set<std::string> shown;
  for (const query::Hit& hit : answer.hits) {
    shown.insert(hit.id);
  }
  const auto& named = answer.coverage.contributed;
  return shown != std::set<std::string>(named.begin(), named.end()) ||
         named.size() + answer.coverage.missing.size() != answer.coverage.total;
}

}  // namespace

struct SimDaemon::Query {
  Query(const query::GatherPlan& plan, query::GatherPolicies policies)
      : deadline(plan.deadlines.deadline()), gather(plan, policies) {}

  TimePoint deadline;
  query::Gather gather;
  std::unordered_map<std::uint64_t, SimLeaf*> sent;  ///< By sequence.
  std::shared_ptr<const query::PolicySet> set;
  const release::ServiceView* service = nullptr;
  std::optional<admission::Permit> permit;
  QueryEnd end;
  Done done;
  TimePoint wake = TimePoint::max();
  bool ended = false;
};

SimDaemon::SimDaemon(SimWorld world,
                     const RcuCell<release::Release>& releases,
                     const std::string& name,
                     std::size_t fleet,
                     const query::ReplicaChoice& replicas,
                     bool admits)
    : world(world),
      replicas(replicas),
      members(view_of(name, fleet)),
      query_metrics(this->metrics),
      table(releases, this->query_metrics),
      ids(std::hash<std::string>()(name)),
      retries(kRetryBurst),
      admission(releases, this->members, this->metrics),
      admits(admits) {}

void SimDaemon::ask(const std::string& service, Done done) {
  const TimePoint now = this->world.timeline.now();
  std::optional<admission::Permit> permit;
  if (this->admits) {
    Result<admission::Permit> got = this->admission.admit(service, "c", now);
    if (!got.has_value()) {
      QueryEnd end{service, now, now, got.error().kind, true};
      done(std::move(end));
      return;
    }
    permit.emplace(std::move(*got));
  }
  const std::shared_ptr<const query::PolicySet> set = this->table.current();
  const release::ServiceView& view =
      *set->release->services.find(service)->second;
  auto query = std::make_shared<Query>(
      plan_of(view.spec, now, this->ids.reserve(1)),
      query::GatherPolicies{this->replicas,
                            set->services.find(service)->second->policy,
                            this->retries});
  query->set = set;
  query->service = &view;
  if (permit.has_value()) {
    query->permit.emplace(std::move(*permit));
  }
  query->end = {service, now, now, std::nullopt, false};
  query->done = std::move(done);
  this->begin(query);
}

void SimDaemon::begin(const std::shared_ptr<Query>& query) {
  query::PinnedSnapshot pin{query->set->release,
                            query->service->snapshots.front(),
                            query->set->leafs};
  const std::uint64_t first = this->ids.reserve(query::Gather::ids_needed(pin));
  query->gather.start(std::move(pin), first, this->world.timeline.now());
  this->perform(query);
}

void SimDaemon::restart_if_wanted(Query& query) {
  const TimePoint now = this->world.timeline.now();
  if (!query.gather.wants_restart(now)) {
    return;
  }
  std::optional<query::PinnedSnapshot> newer = this->table.newer_snapshot(
      query.end.service, query.gather.pin().snapshot->sequence);
  if (newer.has_value()) {
    const std::uint64_t first =
        this->ids.reserve(query::Gather::ids_needed(*newer));
    query.gather.start(*std::move(newer), first, now);
  }
}

void SimDaemon::perform(const std::shared_ptr<Query>& query) {
  this->restart_if_wanted(*query);
  for (const std::uint64_t sequence : query->gather.take_cancels()) {
    const auto sent = query->sent.find(sequence);
    if (sent != query->sent.end()) {
      this->world.timeline.after(
          this->world.one_way,
          [leaf = sent->second, id = CallId{this->ids.origin(), sequence}] {
            leaf->cancel(id);
          });
    }
  }
  for (const query::GatherCall& call : query->gather.take_starts()) {
    this->send(query, call);
  }
  if (query->gather.finished()) {
    this->end(*query);
  } else if (query->gather.next_wake() < query->wake) {
    this->wake(query);
  }
}

void SimDaemon::send(const std::shared_ptr<Query>& query,
                     const query::GatherCall& call) {
  SimLeaf* leaf = this->world.leafs[call.leaf].get();
  SimCall sim_call;
  query->sent.emplace(call.sequence, leaf);
  sim_call.id = {this->ids.origin(), call.sequence};
  sim_call.priority = query->service->spec.priority;
  sim_call.deadline = query->deadline;
  sim_call.snapshot = query->gather.pin().snapshot->name;
  sim_call.shard = query->gather.pin().snapshot->shards[call.shard].name;
  sim_call.answer = [this, query, id = sim_call.id](Result<std::string> body,
                                                    Duration queue_time,
                                                    Duration leaf_time) {
    this->world.timeline.after(
        this->world.one_way,
        [this, query, id, queue_time, leaf_time, body = std::move(body)] {
          const gateway::LeafAnswer answer{id, body, leaf_time, queue_time};
          query->gather.on_answer(answer, this->world.timeline.now());
          this->perform(query);
        });
  };
  this->world.timeline.after(
      this->world.one_way,
      [leaf, sim_call = std::move(sim_call)] { leaf->submit(sim_call); });
}

void SimDaemon::wake(const std::shared_ptr<Query>& query) {
  query->wake = query->gather.next_wake();
  this->world.timeline.at(query->wake, [this, query, due = query->wake] {
    if (query->ended || query->wake != due) {
      return;
    }
    query->wake = TimePoint::max();
    if (query->gather.next_wake() <= due) {
      query->gather.on_timer(due);
    }
    this->perform(query);
  });
}

void SimDaemon::end(Query& query) {
  if (std::exchange(query.ended, true)) {
    return;
  }
  const query::GatherCounts& counts = query.gather.counts();
  const Result<query::QueryAnswer> result = query.gather.take_result();
  QueryEnd& end = query.end;
  end.done = this->world.timeline.now();
  end.calls = counts.calls;
  end.extra_calls = counts.hedges + counts.retries;
  end.restarts = counts.restarts;
  LeafWait wait;
  if (result.has_value()) {
    wait = result->leaf_wait;
    end.coverage = result->coverage.share();
    end.mixed = is_mixed(*result);
    end.false_coverage = is_false_coverage(*result);
  } else {
    end.error = result.error().kind;
  }
  if (query.permit.has_value()) {
    query.permit->finish({end.error, wait}, end.done);
  }
  query.done(end);
}

}  // namespace ibismux::bench
