#include "ibismux/query/query_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

#include <array>

#include "ibismux/query/gather_plan.h"
#include "ibismux/query/service_policy.h"

namespace ibismux::query {

namespace {

using CounterFamily = prometheus::Family<prometheus::Counter>;
using GaugeFamily = prometheus::Family<prometheus::Gauge>;
using HistogramFamily = prometheus::Family<prometheus::Histogram>;

const prometheus::Histogram::BucketBoundaries kSecondsBuckets = {
    0.002, 0.005, 0.01, 0.02, 0.04, 0.07, 0.1, 0.15, 0.22, 0.4, 0.7, 1, 2, 5};
const prometheus::Histogram::BucketBoundaries kCoverageBuckets = {
    0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999};

CounterFamily& counters(prometheus::Registry& metrics,
                        const char* name,
                        const char* help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(metrics);
}

GaugeFamily& gauges(prometheus::Registry& metrics,
                    const char* name,
                    const char* help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(metrics);
}

HistogramFamily& histograms(prometheus::Registry& metrics,
                            const char* name,
                            const char* help) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(metrics);
}

}  // namespace

struct QueryMetrics::Families {
  explicit Families(prometheus::Registry& metrics)
      : queries(counters(metrics,
                         "ibismux_query_total",
                         "Queries by how they ended")),
        leaf_calls(counters(metrics,
                            "ibismux_query_leaf_calls_total",
                            "Leaf calls by their cause")),
        restarts(counters(metrics,
                          "ibismux_query_restarts_total",
                          "Queries restarted on a newer snapshot")),
        dropped(counters(metrics,
                         "ibismux_query_dropped_answers_total",
                         "Leaf answers that were not merged, by reason")),
        retries_refused(counters(metrics,
                                 "ibismux_query_retries_refused_total",
                                 "Retries that the budget did not allow")),
        seconds(histograms(metrics,
                           "ibismux_query_seconds",
                           "Time from receipt to answer")),
        coverage(histograms(metrics,
                            "ibismux_query_coverage",
                            "Share of shards merged in an answer")),
        hedge_tokens(gauges(metrics,
                            "ibismux_query_hedge_tokens",
                            "Hedges that the budget would allow now")),
        hedge_openness(gauges(metrics,
                              "ibismux_query_hedge_openness",
                              "1 while load allows hedges, 0 when it shuts")),
        hedge_delay(gauges(metrics,
                           "ibismux_query_hedge_delay_seconds",
                           "How long a call is out before a hedge")),
        retry_tokens(gauges(metrics,
                            "ibismux_query_retry_tokens",
                            "Retries that the shared budget would allow now")
                         .Add({})) {}

  CounterFamily& queries;
  CounterFamily& leaf_calls;
  CounterFamily& restarts;
  CounterFamily& dropped;
  CounterFamily& retries_refused;
  HistogramFamily& seconds;
  HistogramFamily& coverage;
  GaugeFamily& hedge_tokens;
  GaugeFamily& hedge_openness;
  GaugeFamily& hedge_delay;
  prometheus::Gauge& retry_tokens;
};

namespace {

class FamilyMetrics final : public ServiceMetrics {
 public:
  template <class Families>
  FamilyMetrics(Families& families, const std::string& service)
      : whole(families.queries.Add(labels(service, "outcome", "whole"))),
        partial(families.queries.Add(labels(service, "outcome", "partial"))),
        first_calls(families.leaf_calls.Add(labels(service, "cause", "first"))),
        hedges(families.leaf_calls.Add(labels(service, "cause", "hedge"))),
        retries(families.leaf_calls.Add(labels(service, "cause", "retry"))),
        restarts(families.restarts.Add({{"service", service}})),
        foreign(families.dropped.Add(labels(service, "reason", "foreign"))),
        late(families.dropped.Add(labels(service, "reason", "late"))),
        malformed(families.dropped.Add(labels(service, "reason", "malformed"))),
        refused(families.retries_refused.Add({{"service", service}})),
        seconds(families.seconds.Add({{"service", service}}, kSecondsBuckets)),
        coverage(
            families.coverage.Add({{"service", service}}, kCoverageBuckets)),
        hedge_tokens(families.hedge_tokens.Add({{"service", service}})),
        hedge_openness(families.hedge_openness.Add({{"service", service}})),
        hedge_delay(families.hedge_delay.Add({{"service", service}})) {
    for (std::size_t i = 0; i < kErrorKinds; ++i) {
      const auto name = error_entry(static_cast<ErrorKind>(i)).name;
      this->failures[i] =
          &families.queries.Add(labels(service, "outcome", std::string(name)));
    }
  }

  void query_ended(const Result<QueryAnswer>& result,
                   const GatherCounts& counts,
                   Duration took,
                   const ServicePolicy& policy) override {
    this->count_outcome(result);
    this->count_calls(counts);
    this->seconds.Observe(to_seconds(took));
    this->hedge_tokens.Set(policy.tokens());
    this->hedge_openness.Set(policy.hedge_budget_factor());
    this->hedge_delay.Set(
        to_seconds(policy.hedge_delay().value_or(Duration::zero())));
  }

  void answer_after_end() override { this->late.Increment(); }

 private:
  static prometheus::Labels labels(const std::string& service,
                                   const std::string& key,
                                   const std::string& value) {
    return {{"service", service}, {key, value}};
  }

  void count_outcome(const Result<QueryAnswer>& result) {
    if (!result.has_value()) {
      this->failures[static_cast<std::size_t>(result.error().kind)]
          ->Increment();
      return;
    }
    const double share = result->coverage.share();
    (result->coverage.missing.empty() ? this->whole : this->partial)
        .Increment();
    this->coverage.Observe(share);
  }

  void count_calls(const GatherCounts& counts) {
    this->first_calls.Increment(counts.calls - counts.hedges - counts.retries);
    this->hedges.Increment(counts.hedges);
    this->retries.Increment(counts.retries);
    this->restarts.Increment(counts.restarts);
    this->foreign.Increment(counts.foreign);
    this->late.Increment(counts.late);
    this->malformed.Increment(counts.malformed);
    this->refused.Increment(counts.retries_refused);
  }

  prometheus::Counter& whole;
  prometheus::Counter& partial;
  std::array<prometheus::Counter*, kErrorKinds> failures{};
  prometheus::Counter& first_calls;
  prometheus::Counter& hedges;
  prometheus::Counter& retries;
  prometheus::Counter& restarts;
  prometheus::Counter& foreign;
  prometheus::Counter& late;
  prometheus::Counter& malformed;
  prometheus::Counter& refused;
  prometheus::Histogram& seconds;
  prometheus::Histogram& coverage;
  prometheus::Gauge& hedge_tokens;
  prometheus::Gauge& hedge_openness;
  prometheus::Gauge& hedge_delay;
};

}  // namespace

QueryMetrics::QueryMetrics(prometheus::Registry& metrics)
    : families(std::make_unique<Families>(metrics)) {}
QueryMetrics::~QueryMetrics() = default;

std::unique_ptr<ServiceMetrics> QueryMetrics::service(const std::string& name) {
  return std::make_unique<FamilyMetrics>(*this->families, name);
}

void QueryMetrics::retry_tokens(double tokens) {
  this->families->retry_tokens.Set(tokens);
}

}  // namespace ibismux::query
