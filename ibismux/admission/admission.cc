#include "ibismux/admission/admission.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "ibismux/admission/plan_table.h"
#include "ibismux/membership/membership_view.h"
#include "ibismux/release/release.h"

namespace ibismux::admission {

namespace {

using std::chrono::milliseconds;

/// Maximum number of counter sets kept for callers and services. The largest
/// set takes about 4 KB.
constexpr std::size_t kMaxCounterSets = 4096;
constexpr milliseconds kNotReadyRetry{1000};

tl::unexpected<Error> refuse(ErrorKind kind,
                             std::string message,
                             Duration wait) {
  Error error = make_error(kind, std::move(message));
  error.execution = Execution::kNotRun;
  error.retry_after =
      std::max(milliseconds(1), std::chrono::ceil<milliseconds>(wait));
  return tl::unexpected<Error>(std::move(error));
}

/// The slots that one request holds; they are released together.
class Slots {
 public:
  Slots(std::shared_ptr<const ServicePlan> plan, TimePoint start)
      : plan(std::move(plan)), start(start) {}

  /// Takes a slot of the load group, then one of each policy. If any is
  /// refused, releases those already taken and returns the refusal.
  [[nodiscard]] std::optional<tl::unexpected<Error>> take(
      std::vector<LimitUse> wanted) {
    const Duration wait =
        this->plan->limiter->try_acquire(this->plan->priority, this->start);
    if (wait > Duration::zero()) {
      this->plan->metrics->record_decision(Decision::kShed);
      return refuse(ErrorKind::kOverloaded, "shed: leafs are overloaded", wait);
    }
    for (LimitUse& use : wanted) {
      if (!use.counters->take_slot(*use.share)) {
        const Duration retry_after = use.counters->estimated_slot_wait();
        this->plan->policies[this->uses.size()].refusal_counter->Increment();
        this->cancel();
        this->plan->metrics->record_decision(Decision::kConcurrencyLimited);
        return refuse(ErrorKind::kRateLimited, "too many requests at once",
                      retry_after);
      }
      this->uses.push_back(std::move(use));
    }
    return std::nullopt;
  }

  [[nodiscard]] std::span<const LimitUse> held() const noexcept {
    return this->uses;
  }

  /// Releases all slots of a request that did not run.
  void cancel() {
    this->plan->limiter->release_unused(this->plan->priority);
    this->release_groups(std::nullopt);
  }

  /// Releases all slots of a request that has ended.
  void finish(const RequestEnd& end, TimePoint now) {
    const Duration latency = std::max(Duration::zero(), now - this->start);
    this->plan->limiter->finish(this->plan->priority, latency, end, now);
    this->release_groups(latency);
  }

 private:
  void release_groups(std::optional<Duration> hold_time) {
    for (const LimitUse& use : std::exchange(this->uses, {})) {
      use.counters->release_slot(hold_time);
    }
  }

  std::shared_ptr<const ServicePlan> plan;
  TimePoint start;
  std::vector<LimitUse> uses;
};

}  // namespace

class Admission::Impl {
 public:
  Impl(const RcuCell<release::Release>& releases,
       const RcuCell<membership::MembershipView>& members,
       prometheus::Registry& metrics)
      : metrics(metrics),
        counters_table(kMaxCounterSets),
        plans(releases, members, this->counters_table, this->metrics) {}

  Result<Permit> admit(const std::string& service,
                       const std::string& caller,
                       TimePoint now);

 private:
  std::vector<LimitUse> uses_of(const ServicePlan& plan,
                                const std::string& caller,
                                TimePoint now);

  AdmissionMetrics metrics;
  LimitCountersTable counters_table;
  PlanTable plans;
};

Result<Permit> Admission::Impl::admit(const std::string& service,
                                      const std::string& caller,
                                      TimePoint now) {
  const std::shared_ptr<const PlanSet> set = this->plans.current(now);
  if (set->release->generation == 0) {
    return refuse(ErrorKind::kNotReady, "no configuration yet", kNotReadyRetry);
  }
  const auto found = set->services.find(service);
  if (found == set->services.end()) {
    return fail(ErrorKind::kNotFound, "no service " + service);
  }
  const std::shared_ptr<const ServicePlan>& plan = found->second;
  auto slots = std::make_shared<Slots>(plan, now);
  if (auto refusal = slots->take(this->uses_of(*plan, caller, now))) {
    return *std::move(refusal);
  }
  const RateVerdict rates = check_and_record(slots->held(), now);
  if (rates.wait > Duration::zero()) {
    slots->cancel();
    plan->policies[rates.binding].refusal_counter->Increment();
    plan->metrics->record_decision(Decision::kRateLimited);
    return refuse(ErrorKind::kRateLimited, "too many requests", rates.wait);
  }
  plan->metrics->record_decision(Decision::kAdmitted);
  plan->metrics->set_load(plan->limiter->current_limit(plan->priority),
                          plan->limiter->in_flight());
  return Permit(
      [slots](const RequestEnd& end, TimePoint at) { slots->finish(end, at); });
}

std::vector<LimitUse> Admission::Impl::uses_of(const ServicePlan& plan,
                                               const std::string& caller,
                                               TimePoint now) {
  std::vector<LimitUse> uses;
  uses.reserve(plan.policies.size());
  for (const PolicyPlan& policy : plan.policies) {
    uses.push_back({policy.counters != nullptr
                        ? policy.counters
                        : this->counters_table.get(*policy.policy, caller, now),
                    policy.share});
  }
  return uses;
}

Admission::Admission(const RcuCell<release::Release>& releases,
                     const RcuCell<membership::MembershipView>& members,
                     prometheus::Registry& metrics)
    : impl(std::make_shared<Impl>(releases, members, metrics)) {}
Admission::~Admission() = default;

Result<Permit> Admission::admit(const std::string& service,
                                const std::string& caller,
                                TimePoint now) {
  return this->impl->admit(service, caller, now);
}

}  // namespace ibismux::admission
