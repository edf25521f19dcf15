#include "ibismux/admission/admission_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>

#include <array>

namespace ibismux::admission {

namespace {

constexpr std::array<const char*, kDecisionCount> kDecisionNames = {
    "admitted", "rate_limited", "concurrency_limited", "shed"};

}  // namespace

struct AdmissionMetrics::Families {
  explicit Families(prometheus::Registry& metrics)
      : decisions(prometheus::BuildCounter()
                      .Name("ibismux_admission_total")
                      .Help("Requests by what admission decided")
                      .Register(metrics)),
        limits(prometheus::BuildGauge()
                   .Name("ibismux_admission_limit")
                   .Help("Requests at once that its leafs are taken to carry")
                   .Register(metrics)),
        in_flight(prometheus::BuildGauge()
                      .Name("ibismux_admission_in_flight")
                      .Help("Requests at once to services that share its leafs")
                      .Register(metrics)),
        refusals(prometheus::BuildCounter()
                     .Name("ibismux_admission_limit_refusals_total")
                     .Help("Requests refused by the limit policy that bound")
                     .Register(metrics)),
        group_count(prometheus::BuildGauge()
                        .Name("ibismux_admission_counts")
                        .Help("Counts kept for services and callers")
                        .Register(metrics)
                        .Add({})) {}

  prometheus::Family<prometheus::Counter>& decisions;
  prometheus::Family<prometheus::Gauge>& limits;
  prometheus::Family<prometheus::Gauge>& in_flight;
  prometheus::Family<prometheus::Counter>& refusals;
  prometheus::Gauge& group_count;
};

namespace {

class PrometheusServiceMetrics final : public ServiceMetrics {
 public:
  template <class Families>
  PrometheusServiceMetrics(Families& families,
                           const std::string& service,
                           Priority priority)
      : limit(families.limits.Add({{"service", service}})),
        in_flight_gauge(families.in_flight.Add({{"service", service}})) {
    for (std::size_t i = 0; i < kDecisionCount; ++i) {
      this->counters[i] =
          &families.decisions.Add({{"service", service},
                                   {"class", std::string(to_string(priority))},
                                   {"decision", kDecisionNames[i]}});
    }
  }

  void record_decision(Decision decision) override {
    this->counters[static_cast<std::size_t>(decision)]->Increment();
  }

  void set_load(double limit, std::uint32_t in_flight) override {
    this->limit.Set(limit);
    this->in_flight_gauge.Set(in_flight);
  }

 private:
  std::array<prometheus::Counter*, kDecisionCount> counters{};
  prometheus::Gauge& limit;
  prometheus::Gauge& in_flight_gauge;
};

}  // namespace

AdmissionMetrics::AdmissionMetrics(prometheus::Registry& metrics)
    : families(std::make_unique<Families>(metrics)) {}
AdmissionMetrics::~AdmissionMetrics() = default;

std::shared_ptr<ServiceMetrics> AdmissionMetrics::service(
    const std::string& name,
    Priority priority) {
  return std::make_shared<PrometheusServiceMetrics>(*this->families, name,
                                                    priority);
}

prometheus::Counter& AdmissionMetrics::refusal_counter(
    const std::string& policy) {
  return this->families->refusals.Add({{"policy", policy}});
}

void AdmissionMetrics::set_table_size(std::size_t count) {
  this->families->group_count.Set(static_cast<double>(count));
}

}  // namespace ibismux::admission
