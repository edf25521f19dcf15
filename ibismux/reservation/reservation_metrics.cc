#include "ibismux/reservation/reservation_metrics.h"

namespace ibismux::reservation {

namespace {

constexpr const char* kKindNames[] = {"unkeyed", "keyed", "ticket"};
constexpr const char* kOutcomeNames[] = {"run", "repeat", "not_run", "unknown"};
constexpr const char* kCommitNames[] = {"written", "conflict", "failed"};

}  // namespace

ReservationMetrics::ReservationMetrics(prometheus::Registry& registry) {
  auto& answered = prometheus::BuildCounter()
                       .Name("ibismux_reservations_total")
                       .Help("Reservations answered, by kind and outcome")
                       .Register(registry);
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    for (std::size_t outcome = 0; outcome < kOutcomes; ++outcome) {
      this->answers[kind][outcome] = &answered.Add(
          {{"kind", kKindNames[kind]}, {"outcome", kOutcomeNames[outcome]}});
    }
  }
  auto& written = prometheus::BuildCounter()
                      .Name("ibismux_claim_commits_total")
                      .Help("Writes of bucket heads to the platform")
                      .Register(registry);
  for (std::size_t outcome = 0; outcome < kCommits; ++outcome) {
    this->commits[outcome] = &written.Add({{"outcome", kCommitNames[outcome]}});
  }
  this->operations =
      &prometheus::BuildCounter()
           .Name("ibismux_claim_operations_total")
           .Help("Claims, outcomes and questions that commits carried")
           .Register(registry)
           .Add({});
  this->live_claims =
      &prometheus::BuildGauge()
           .Name("ibismux_live_claims")
           .Help("Claims that run, or whose outcome is not recorded yet")
           .Register(registry)
           .Add({});
}

void ReservationMetrics::count(ReservationKind kind,
                               ReservationOutcome outcome) {
  this->answers[static_cast<std::size_t>(kind)]
               [static_cast<std::size_t>(outcome)]
                   ->Increment();
}

void ReservationMetrics::count(CommitOutcome outcome) {
  this->commits[static_cast<std::size_t>(outcome)]->Increment();
}

void ReservationMetrics::count_operations(std::size_t operations) {
  this->operations->Increment(static_cast<double>(operations));
}

void ReservationMetrics::set_live_claims(std::size_t claims) {
  this->live_claims->Set(static_cast<double>(claims));
}

}  // namespace ibismux::reservation
