#include "tests/dispatch/dispatch_fixture.h"

#include <criterion/criterion.h>

namespace ibismux::dispatch {
namespace {

using testing::DispatchFixture;

/// A route over ten shards that demands nine of them; the last one has no leaf.
struct Fixture : DispatchFixture {
  static constexpr std::size_t kWide = 10;

  explicit Fixture(DispatchPolicy policy = {}) : DispatchFixture(policy) {
    routing::Route wide = this->dispatcher.table()->routes().front();
    wide.name = "wide";
    wide.path_prefix = "/wide/";
    wide.max_attempts = 3;
    wide.minimum_coverage = 0.9;
    wide.shards.clear();
    std::vector<routing::ServiceSpec> services;
    for (std::size_t i = 1; i <= kWide; ++i) {
      const std::string shard = "w" + std::to_string(i);
      wide.shards.push_back(shard);
      services.push_back({shard, 40});
      if (i < kWide) {
        this->add_service(shard);
      }
    }
    this->dispatcher.activate(std::make_shared<const routing::RouteTable>(
        2, std::vector<routing::Route>{wide}, services, routing::CallerLimits{},
        nullptr));
  }
};

// Guards against a query that waits for two slow leafs of a shard that it can't
// leave out, while the third one could answer.
Test(coverage_urgency, without_a_spare_shard_a_third_leaf_is_asked) {
  Fixture fixture;
  fixture.leafs.behaviour["w1-0"] = {.silent = true};
  fixture.leafs.behaviour["w1-1"] = {.silent = true};
  cr_assert(fixture.run("r1", "/wide/1").has_value());
  cr_assert(fixture.merged("r1").missing_shards == 1);
  cr_assert(fixture.leafs.runs["w1-2"].size() == 1);
}

}  // namespace
}  // namespace ibismux::dispatch
