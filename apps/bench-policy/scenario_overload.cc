#include <algorithm>
#include <map>

#include "apps/bench-policy/scenarios.h"

namespace ibismux::bench {

namespace {

using boost::json::object;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kFrom{10};
constexpr seconds kTo{30};
constexpr seconds kEnd{40};
constexpr double kOverload = 2.0;
constexpr double kCalm = 0.5;
constexpr milliseconds kBucket{250};
/// A bucket is well when so many of its queries get their answer.
constexpr double kWell = 0.99;

struct ClassLoad {
  const char* name;
  Priority priority;
  double share;  ///< Of the load.
};

constexpr ClassLoad kClasses[] = {{"bay", Priority::kDiagnostic, 0.2},
                                  {"bench", Priority::kBench, 0.2},
                                  {"counter", Priority::kCatalogue, 0.3},
                                  {"desk", Priority::kEditor, 0.3}};

release::QueryService service_of(const ClassLoad& load) {
  release::QueryService service;
  service.name = load.name;
  service.priority = load.priority;
  service.deadline = milliseconds(1000);
  return service;
}

ClusterSpec spec_of(std::uint64_t seed, bool admits) {
  ClusterSpec spec;
  spec.shards = 3;
  spec.work.mean = milliseconds(20);
  spec.admits = admits;
  spec.seed = seed;
  for (const ClassLoad& load : kClasses) {
    spec.services.push_back(service_of(load));
  }
  return spec;
}

std::vector<Stream> streams_of(double capacity, double overload) {
  std::vector<Stream> streams;
  for (const ClassLoad& load : kClasses) {
    const double calm = load.share * capacity * kCalm;
    streams.push_back({load.name, calm, Duration::zero(), kFrom});
    streams.push_back(
        {load.name, load.share * capacity * overload, kFrom, kTo});
    streams.push_back({load.name, calm, kTo, kEnd});
  }
  return streams;
}

struct Goodput {
  double asked = 0;
  double answered = 0;

  [[nodiscard]] double share() const { return this->answered / this->asked; }
  [[nodiscard]] double per_second() const {
    return this->answered / std::chrono::duration<double>(kTo - kFrom).count();
  }
};

/// Of each service, while overloaded.
std::map<std::string, Goodput> goodput(const std::vector<QueryEnd>& ends,
                                       TimePoint start) {
  std::map<std::string, Goodput> result;
  for (const QueryEnd& end : ends) {
    if (end.sent >= start + kFrom && end.sent < start + kTo) {
      result[end.service].asked += 1;
      result[end.service].answered += end.error.has_value() ? 0 : 1;
    }
  }
  return result;
}

/// How long after the overload until a whole second of queries is well.
double recovery_seconds(const std::vector<QueryEnd>& ends, TimePoint start) {
  std::map<std::int64_t, std::pair<double, double>> buckets;
  for (const QueryEnd& end : ends) {
    if (end.sent >= start + kTo) {
      auto& [good, all] = buckets[(end.sent - start - kTo) / kBucket];
      good += end.error.has_value() ? 0 : 1;
      all += 1;
    }
  }
  for (std::int64_t first = 0; first * kBucket < kEnd - kTo; ++first) {
    double good = 0;
    double all = 0;
    for (std::int64_t i = first; i < first + seconds(1) / kBucket; ++i) {
      good += buckets[i].first;
      all += buckets[i].second;
    }
    if (all > 0 && good >= kWell * all) {
      return std::chrono::duration<double>(kBucket * first).count();
    }
  }
  return std::chrono::duration<double>(kEnd - kTo).count();
}

/// Of the queries before the overload, those not answered.
double calm_failures(const std::vector<QueryEnd>& ends, TimePoint start) {
  double all = 0;
  double failed = 0;
  for (const QueryEnd& end : ends) {
    if (end.sent < start + kFrom) {
      all += 1;
      failed += end.error.has_value() ? 1 : 0;
    }
  }
  return failed / all;
}

/// The longest that a refusal by admission took, and the queries so refused.
object door(const std::vector<QueryEnd>& ends) {
  std::uint64_t refused = 0;
  std::uint64_t late = 0;
  for (const QueryEnd& end : ends) {
    refused += end.refused_at_door ? 1 : 0;
    late += !end.refused_at_door && end.error.has_value() ? 1 : 0;
  }
  return {{"refused_at_door", refused}, {"failed_after_door", late}};
}

/// The share of queries answered with nobody else there.
double alone(const ClassLoad& load, std::uint64_t seed) {
  const query::CheaperOfTwo cheaper;
  const ClusterSpec spec = spec_of(seed, true);
  SimCluster cluster(spec, cheaper);
  const double rate = load.share * SimCluster::capacity(spec) * kOverload;
  const auto ends = cluster.run({{load.name, rate, kFrom, kTo}});
  return goodput(ends, cluster.start())[load.name].share();
}

object run(std::uint64_t seed, bool admits) {
  const query::CheaperOfTwo cheaper;
  const ClusterSpec spec = spec_of(seed, admits);
  const double capacity = SimCluster::capacity(spec);
  SimCluster cluster(spec, cheaper);
  const auto ends = cluster.run(streams_of(capacity, kOverload));
  std::map<std::string, Goodput> classes = goodput(ends, cluster.start());
  object result = door(ends);
  double total = 0;
  for (const ClassLoad& load : kClasses) {
    const Goodput& own = classes[load.name];
    total += own.per_second();
    result[load.name] = {{"answered_per_second", own.per_second()},
                         {"answered_share", own.share()},
                         {"of_alone", own.share() / alone(load, seed)}};
  }
  result["of_capacity"] = total / capacity;
  result["calm_failures"] = calm_failures(ends, cluster.start());
  result["recovery_s"] = recovery_seconds(ends, cluster.start());
  return result;
}

}  // namespace

object run_overload(std::uint64_t seed) {
  return {{"no_admission", run(seed, false)}, {"admission", run(seed, true)}};
}

}  // namespace ibismux::bench
