#include <ctime>

#include "apps/bench-policy/scenarios.h"
#include "ibismux/base/fraction_budget.h"
#include "ibismux/query/leaf_stats.h"

namespace ibismux::bench {

namespace {

using boost::json::object;
using std::chrono::milliseconds;

constexpr std::uint32_t kReplicas = 2;
constexpr int kHitsALeaf = 10;
constexpr int kTextBytes = 100;
constexpr int kQueries = 500;
constexpr int kAdmissions = 200'000;

/// Processor time of this thread.
std::chrono::nanoseconds cpu_time() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return std::chrono::seconds(now.tv_sec) +
         std::chrono::nanoseconds(now.tv_nsec);
}

query::PinnedSnapshot pin_of(std::uint32_t shards) {
  auto release = std::make_shared<release::Release>();
  auto snapshot = std::make_shared<release::SnapshotView>();
  auto leafs =
      std::make_shared<std::vector<std::shared_ptr<query::LeafStats>>>();
  release->leafs.resize(shards * kReplicas);
  for (std::uint32_t i = 0; i < shards * kReplicas; ++i) {
    leafs->push_back(std::make_shared<query::LeafStats>());
  }
  for (std::uint32_t i = 0; i < shards; ++i) {
    snapshot->shards.push_back({"shard-" + std::to_string(i),
                                0,
                                0,
                                {i * kReplicas, i * kReplicas + 1}});
  }
  return {release, snapshot, leafs};
}

std::string body_of(pcg64& random) {
  std::string body = R"({"hits":[)";
  for (int i = 0; i < kHitsALeaf; ++i) {
    body += i == 0 ? "" : ",";
    body += R"({"id":"guide-)" + std::to_string(random() % 1'000'000) +
            R"(","score":)" + std::to_string(random() % 1000) +
            R"(.5,"text":")" + std::string(kTextBytes, 'x') + R"("})";
  }
  return body + "]}";
}

/// Processor time of one query with all its answers, in microseconds.
double query_cost(std::uint32_t shards, std::uint64_t seed) {
  pcg64 random(seed);
  const query::PinnedSnapshot pin = pin_of(shards);
  const std::string body = body_of(random);
  const query::CheaperOfTwo replicas;
  query::ServicePolicy service(0.95, 0.05);
  FractionBudget retries(100);
  const TimePoint now = TimePoint(std::chrono::hours(1));
  std::uint64_t first = 1;
  const auto begin = cpu_time();
  for (int i = 0; i < kQueries; ++i) {
    query::Gather gather(
        {query::DeadlinePolicy(now + milliseconds(1000), std::nullopt, 1.0), 10,
         random()},
        {replicas, service, retries});
    gather.start(pin, first, now);
    for (const query::GatherCall& call : gather.take_starts()) {
      gather.on_answer({{1, call.sequence}, body}, now + milliseconds(10));
    }
    first += query::Gather::ids_needed(pin);
    if (!gather.take_result().has_value()) {
      return -1;
    }
  }
  return std::chrono::duration<double, std::micro>(cpu_time() - begin).count() /
         kQueries;
}

/// Processor time of one admission with two rate rules, and of its end, in
/// microseconds.
double admission_cost() {
  auto release = std::make_shared<release::Release>();
  release->generation = 1;
  release->leafs.resize(1);
  auto policy = std::make_shared<release::LimitPolicy>();
  policy->name = "callers";
  policy->scope = release::LimitPolicy::Scope::kCaller;
  policy->rates = {{100, milliseconds(1000)}, {100'000, milliseconds(60'000)}};
  auto service = std::make_shared<release::ServiceView>();
  service->spec.name = "catalogue";
  service->limits.push_back(policy);
  release->services.emplace("catalogue", service);
  const RcuCell<release::Release> releases(release);
  const RcuCell<membership::MembershipView> members(
      std::make_shared<const membership::MembershipView>());
  prometheus::Registry metrics;
  admission::Admission admission(releases, members, metrics);
  TimePoint now = TimePoint(std::chrono::hours(1));
  const auto begin = cpu_time();
  for (int i = 0; i < kAdmissions; ++i) {
    now += std::chrono::microseconds(100);
    auto permit = admission.admit("catalogue", std::to_string(i % 1000), now);
    if (permit.has_value()) {
      permit->finish({}, now);
    }
  }
  return std::chrono::duration<double, std::micro>(cpu_time() - begin).count() /
         kAdmissions;
}

}  // namespace

object run_cost(std::uint64_t seed) {
  object result;
  for (const std::uint32_t shards : {3U, 30U, 230U}) {
    result["query_us_" + std::to_string(shards)] = query_cost(shards, seed);
  }
  result["admission_us"] = admission_cost();
  return result;
}

}  // namespace ibismux::bench
