#include "ibismux/admission/admission.h"

#include "ibismux/membership/membership_view.h"
#include "ibismux/release/release.h"

#include <criterion/criterion.h>

namespace ibismux::admission {
namespace {

using std::chrono::milliseconds;

TimePoint at(std::int64_t ms) {
  return TimePoint(std::chrono::hours(1)) + milliseconds(ms);
}

void add_service(release::Release& release,
                 const std::string& name,
                 Priority priority,
                 std::uint32_t leaf,
                 std::vector<release::LimitPolicy> limits = {}) {
  auto snapshot = std::make_shared<release::SnapshotView>();
  snapshot->shards.push_back({"s0", 0, 65536, {leaf}});
  auto service = std::make_shared<release::ServiceView>();
  service->spec.name = name;
  service->spec.priority = priority;
  service->snapshots.push_back(snapshot);
  for (release::LimitPolicy& limit : limits) {
    service->limits.push_back(
        std::make_shared<const release::LimitPolicy>(std::move(limit)));
  }
  release.services.emplace(name, service);
}

std::shared_ptr<release::Release> two_leafs() {
  auto release = std::make_shared<release::Release>();
  release->generation = 1;
  release->leafs.resize(2);
  return release;
}

/// The leaf wait of a request whose only call did not wait.
LeafWait idle_leafs() {
  LeafWait wait;
  wait.add(Duration::zero(), milliseconds(10));
  return wait;
}

std::shared_ptr<const membership::MembershipView> fleet(std::size_t size) {
  auto view = std::make_shared<membership::MembershipView>();
  view->self = "d0";
  for (std::size_t i = 0; i < size; ++i) {
    view->members.push_back({"d" + std::to_string(i)});
  }
  return view;
}

struct AdmissionFixture {
  explicit AdmissionFixture(std::shared_ptr<release::Release> release,
                            std::size_t size = 1)
      : releases(std::move(release)),
        members(fleet(size)),
        admission(this->releases, this->members, this->metrics) {}

  /// Sends requests until one is refused; keeps the permits and the refusal.
  std::size_t admit_until_refused(const std::string& service, TimePoint now) {
    std::size_t count = 0;
    while (count < 10'000) {
      Result<Permit> permit = this->admission.admit(service, "c", now);
      if (!permit.has_value()) {
        this->refusal = permit.error();
        return count;
      }
      this->permits.push_back(std::move(*permit));
      ++count;
    }
    return count;
  }

  void finish_all(std::optional<ErrorKind> error, TimePoint now) {
    this->finish_all({error, idle_leafs()}, now);
  }

  void finish_all(const RequestEnd& end, TimePoint now) {
    for (Permit& permit : this->permits) {
      permit.finish(end, now);
    }
    this->permits.clear();
  }

  prometheus::Registry metrics;
  RcuCell<release::Release> releases;
  RcuCell<membership::MembershipView> members;
  Admission admission;
  std::vector<Permit> permits;
  Error refusal;
};

release::LimitPolicy rate_policy(release::LimitPolicy::Scope scope,
                                 std::uint32_t limit) {
  release::LimitPolicy policy;
  policy.name = "p";
  policy.scope = scope;
  policy.rates.push_back({limit, milliseconds(1000)});
  return policy;
}

Test(admission, enforces_a_rate_and_refuses_with_the_time_to_retry) {
  auto release = two_leafs();
  add_service(*release, "a", Priority::kBench, 0,
              {rate_policy(release::LimitPolicy::Scope::kService, 3)});
  AdmissionFixture fixture(release);
  for (int i = 0; i < 3; ++i) {
    cr_assert(fixture.admit_until_refused("a", at(i)) <= 3);
    fixture.finish_all(std::nullopt, at(i));
  }
  cr_assert(fixture.refusal.kind == ErrorKind::kRateLimited);
  cr_assert(fixture.refusal.execution == Execution::kNotRun);
  cr_assert(fixture.refusal.retry_after == milliseconds(998));
  cr_assert(fixture.admit_until_refused("a", at(1000)) == 3);
}

Test(admission, the_fleet_shares_a_limit) {
  auto release = two_leafs();
  release::LimitPolicy policy;
  policy.name = "p";
  policy.concurrency = 12;
  add_service(*release, "a", Priority::kBench, 0, {policy});
  AdmissionFixture fixture(release, 4);
  cr_assert(fixture.admit_until_refused("a", at(0)) == 3);
  cr_assert(fixture.refusal.kind == ErrorKind::kRateLimited);
  cr_assert(fixture.refusal.retry_after.has_value());
  fixture.members.write(fleet(3));
  cr_assert(fixture.admit_until_refused("a", at(1)) == 1);
}

Test(admission, counts_a_refusal_for_the_policy_that_refused) {
  auto release = two_leafs();
  release::LimitPolicy wide =
      rate_policy(release::LimitPolicy::Scope::kService, 10);
  release::LimitPolicy tight =
      rate_policy(release::LimitPolicy::Scope::kCaller, 1);
  wide.name = "wide";
  tight.name = "tight";
  add_service(*release, "a", Priority::kBench, 0, {wide, tight});
  AdmissionFixture fixture(release);
  cr_assert(fixture.admit_until_refused("a", at(0)) == 1);
  double tight_refusals = 0;
  double others = 0;
  for (const auto& family : fixture.metrics.Collect()) {
    if (family.name == "ibismux_admission_limit_refusals_total") {
      for (const auto& metric : family.metric) {
        (metric.label[0].value == "tight" ? tight_refusals : others) +=
            metric.counter.value;
      }
    }
  }
  cr_assert(tight_refusals == 1);
  cr_assert(others == 0);
}

Test(admission, each_caller_has_its_own_limit) {
  auto release = two_leafs();
  add_service(*release, "a", Priority::kBench, 0,
              {rate_policy(release::LimitPolicy::Scope::kCaller, 1)});
  AdmissionFixture fixture(release);
  cr_assert(fixture.admission.admit("a", "x", at(0)).has_value());
  cr_assert(!fixture.admission.admit("a", "x", at(1)).has_value());
  cr_assert(fixture.admission.admit("a", "y", at(1)).has_value());
}

Test(admission, a_destroyed_permit_releases_its_slot) {
  auto release = two_leafs();
  release::LimitPolicy policy;
  policy.name = "p";
  policy.concurrency = 1;
  add_service(*release, "a", Priority::kBench, 0, {policy});
  AdmissionFixture fixture(release);
  cr_assert(fixture.admit_until_refused("a", at(0)) == 1);
  fixture.permits.clear();
  cr_assert(fixture.admit_until_refused("a", at(1)) == 1);
}

Test(admission, a_lower_class_never_causes_refusals_of_a_higher_one) {
  auto release = two_leafs();
  add_service(*release, "desk", Priority::kEditor, 0);
  add_service(*release, "bay", Priority::kDiagnostic, 0);
  AdmissionFixture fixture(release);
  const std::size_t editors = fixture.admit_until_refused("desk", at(0));
  cr_assert(editors > 0 && editors < 10'000);
  cr_assert(fixture.refusal.kind == ErrorKind::kOverloaded);
  cr_assert(fixture.refusal.execution == Execution::kNotRun);
  cr_assert(fixture.refusal.retry_after.has_value());
  cr_assert(fixture.admit_until_refused("bay", at(1)) == editors);
  cr_assert(fixture.admit_until_refused("desk", at(2)) == 0);
}

Test(admission, services_on_other_leafs_are_not_shed) {
  auto release = two_leafs();
  add_service(*release, "desk", Priority::kEditor, 0);
  add_service(*release, "portal", Priority::kEditor, 1);
  AdmissionFixture fixture(release);
  cr_assert(fixture.admit_until_refused("desk", at(0)) > 0);
  cr_assert(fixture.admit_until_refused("portal", at(0)) > 0);
}

// Failure: a service that no longer shares leafs with an overloaded one keeps
// sharing its limit, and is shed although its own leafs are idle.
Test(admission, a_service_that_moves_to_other_leafs_gets_its_own_limit) {
  auto together = two_leafs();
  add_service(*together, "desk", Priority::kEditor, 0);
  add_service(*together, "portal", Priority::kEditor, 0);
  AdmissionFixture fixture(together);
  cr_assert(fixture.admit_until_refused("desk", at(0)) > 0);
  cr_assert(fixture.admit_until_refused("portal", at(0)) == 0);
  auto apart = two_leafs();
  add_service(*apart, "desk", Priority::kEditor, 0);
  add_service(*apart, "portal", Priority::kEditor, 1);
  fixture.releases.write(apart);
  cr_assert(fixture.admit_until_refused("portal", at(1)) > 0);
}

Test(admission, overloaded_leafs_lower_the_limit_and_idle_ones_raise_it) {
  auto release = two_leafs();
  add_service(*release, "a", Priority::kBench, 0);
  AdmissionFixture fixture(release);
  const std::size_t first = fixture.admit_until_refused("a", at(0));
  fixture.finish_all(ErrorKind::kOverloaded, at(50));
  const std::size_t second = fixture.admit_until_refused("a", at(60));
  cr_assert(second < first);
  fixture.finish_all(std::nullopt, at(100));
  for (int i = 0; i < 20; ++i) {
    fixture.admit_until_refused("a", at(200 + 100 * i));
    fixture.finish_all(std::nullopt, at(240 + 100 * i));
  }
  cr_assert(fixture.admit_until_refused("a", at(5000)) > first);
}

// Failure: requests answered without a leaf call lower the latency that queries
// are compared with, and queries are shed although the leafs are idle.
Test(admission, requests_without_leaf_calls_do_not_make_queries_seem_slow) {
  auto release = two_leafs();
  add_service(*release, "a", Priority::kBench, 0);
  AdmissionFixture fixture(release);
  for (int i = 0; i < 600; ++i) {
    const bool query = i >= 100;
    for (int j = 0; j < 2; ++j) {
      Result<Permit> permit = fixture.admission.admit("a", "c", at(50 * i));
      cr_assert(permit.has_value());
      fixture.permits.push_back(std::move(*permit));
    }
    fixture.finish_all({std::nullopt, query ? idle_leafs() : LeafWait()},
                       at(50 * i + (query ? 20 : 1)));
  }
}

// Failure: one slow leaf lowers the limit, and queries are refused as
// overloaded although the other leafs have capacity.
Test(admission, one_slow_leaf_does_not_lower_the_limit) {
  auto release = two_leafs();
  add_service(*release, "a", Priority::kBench, 0);
  AdmissionFixture fixture(release);
  for (int i = 0; i < 400; ++i) {
    const bool slow = i >= 100;
    LeafWait wait;
    for (int call = 0; call < 7; ++call) {
      wait.add(milliseconds(1), milliseconds(8));
    }
    wait.add(milliseconds(slow ? 400 : 1), milliseconds(slow ? 160 : 8));
    for (int j = 0; j < 3; ++j) {
      Result<Permit> permit = fixture.admission.admit("a", "c", at(600 * i));
      cr_assert(permit.has_value());
      fixture.permits.push_back(std::move(*permit));
    }
    fixture.finish_all({std::nullopt, wait}, at(600 * i + (slow ? 560 : 10)));
  }
}

// Failure: a daemon that has never seen its leafs idle takes the overload for
// normal; no request is shed, and requests run into their deadlines.
Test(admission, a_daemon_that_starts_during_overload_sheds) {
  auto release = two_leafs();
  add_service(*release, "a", Priority::kBench, 0);
  AdmissionFixture fixture(release);
  const std::size_t first = fixture.admit_until_refused("a", at(0));
  LeafWait wait;
  wait.add(milliseconds(60), milliseconds(10));
  for (int i = 1; i < 20; ++i) {
    fixture.finish_all({std::nullopt, wait}, at(100 * i));
    cr_assert(fixture.admit_until_refused("a", at(100 * i)) > 0);
  }
  cr_assert(fixture.permits.size() < first / 2);
}

Test(admission,
     unknown_service_and_missing_configuration_have_different_errors) {
  AdmissionFixture fixture(two_leafs());
  cr_assert(fixture.admission.admit("x", "c", at(0)).error().kind ==
            ErrorKind::kNotFound);
  fixture.releases.write(std::make_shared<const release::Release>());
  cr_assert(fixture.admission.admit("x", "c", at(0)).error().kind ==
            ErrorKind::kNotReady);
}

}  // namespace
}  // namespace ibismux::admission
