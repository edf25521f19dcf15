#include "tests/dispatch/dispatch_fixture.h"

#include <criterion/criterion.h>

namespace ibismux::dispatch {
namespace {

using testing::DispatchFixture;

// Attempts of callers that may reach leafs once three leafs have ended.
constexpr int kMostRetries = 3;

/// Sends `path` `attempts` times; all leafs are back before each.
/// @return How many attempts reached a leaf.
int attempts_that_reach_leafs(DispatchFixture& fixture,
                              const std::string& path,
                              int attempts) {
  fixture.leafs.crashing_target = path;
  int reached = 0;
  for (int i = 0; i < attempts; ++i) {
    const std::string id = "r" + std::to_string(i);
    fixture.run(id, path);
    reached += fixture.leafs.times_run(id) > 0 ? 1 : 0;
    fixture.restart_ended_leafs();
  }
  return reached;
}

// Guards against a query that ends all leafs of a service at each repeat.
Test(crashing_request, a_query_that_ends_leafs_is_kept_from_them) {
  DispatchFixture fixture;
  cr_assert(attempts_that_reach_leafs(fixture, "/query/bad", 8) <=
            kMostRetries);
}

// Guards against a request for one leaf that ends one after the other.
Test(crashing_request, a_page_that_ends_leafs_is_kept_from_them) {
  DispatchFixture fixture;
  cr_assert(attempts_that_reach_leafs(fixture, "/page/bad", 8) <= kMostRetries);
}

}  // namespace
}  // namespace ibismux::dispatch
