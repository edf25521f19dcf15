// Requests that end the leafs that run them, against daemons as processes.

#include "tests/users_platform/edge_site.h"

#include <criterion/criterion.h>

namespace ibismux::testing {
namespace {

constexpr std::size_t kDaemons = 3;
// Attempts of callers that may reach leafs once three leafs have ended.
constexpr int kMostRetries = 3;

void let_requests_end_leafs(EdgeSite& site, const std::string& target) {
  for (const char* service : {"s1", "s2", "s3", "desk"}) {
    site.fake("PUT", "leafs",
              std::string(R"({"service":")") + service + R"(","crash_on":")" +
                  target + "\"}");
  }
}

/// Waits until all daemons have answers of all shards again.
bool wait_for_leafs(EdgeSite& site) {
  static int number = 0;
  for (std::size_t i = 0; i < kDaemons; ++i) {
    const bool back = wait_until([&] {
      const auto answer = site.call("good" + std::to_string(++number),
                                    "/query/good", "GET", {}, 5000, i);
      return answer && answer->status == 200 &&
             answer->field("X-Missing-Parts") == "0";
    });
    if (!back) {
      return false;
    }
  }
  return true;
}

// Guards against a request that ends leafs and finds each daemon unaware of it.
Test(crashing_request, all_daemons_keep_it_from_leafs) {
  EdgeSite site(kDaemons);
  for (std::size_t i = 0; i < kDaemons; ++i) {
    cr_assert(site.wait_until_ready(i));
  }
  let_requests_end_leafs(site, "/query/bad");
  int reached = 0;
  for (std::size_t i = 0; i < 9; ++i) {
    cr_assert(wait_for_leafs(site));
    const std::string id = "bad" + std::to_string(i);
    site.call(id, "/query/bad", "GET", {}, 5000, i % kDaemons);
    reached += site.reached_shards(id) ? 1 : 0;
  }
  cr_assert(reached <= kMostRetries);
}

}  // namespace
}  // namespace ibismux::testing
