// Requests that end the leafs that run them, against daemons as processes.

#include "tests/users_platform/edge_site.h"

#include <criterion/criterion.h>
#include <signal.h>

namespace ibismux::testing {
namespace {

constexpr std::size_t kDaemons = 3;
// Attempts of callers that may reach leafs once three leafs have ended.
constexpr int kMostRetries = 3;

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

/// Sends the request that ends leafs to one daemon after the other.
/// @return How many attempts reached leafs.
int send_bad_requests(EdgeSite& site, std::size_t attempts) {
  static int number = 0;
  int reached = 0;
  for (std::size_t i = 0; i < attempts; ++i) {
    cr_assert(wait_for_leafs(site));
    const std::string id = "bad" + std::to_string(++number);
    site.call(id, "/query/bad", "GET", {}, 5000, i % kDaemons);
    reached += site.reached_shards(id) ? 1 : 0;
  }
  return reached;
}

/// Waits until daemon `i` refuses the request that ends leafs.
bool refuses_bad_request(EdgeSite& site, std::size_t i) {
  static int number = 0;
  return wait_until([&] {
    const auto answer = site.call("refused" + std::to_string(++number),
                                  "/query/bad", "GET", {}, 5000, i);
    return answer && answer->status == 503 &&
           !answer->field("Retry-After").empty();
  });
}

struct CrashSite : EdgeSite {
  CrashSite() : EdgeSite(kDaemons) {
    cr_assert(this->wait_until_all_ready());
    this->let_requests_end_leafs("/query/bad");
  }
};

// Guards against a request that ends leafs and finds each daemon unaware of it.
Test(crashing_request, all_daemons_keep_it_from_leafs) {
  CrashSite site;
  cr_assert(send_bad_requests(site, 9) <= kMostRetries);
}

// Guards against a daemon that starts and doesn't know what the others do.
Test(crashing_request, a_daemon_that_starts_keeps_it_from_leafs) {
  CrashSite site;
  send_bad_requests(site, kMostRetries);
  cr_assert(refuses_bad_request(site, 0));
  for (std::size_t i = 0; i < kDaemons; ++i) {
    site.daemon(i).signal(SIGKILL);
  }
  site.start_daemon();
  cr_assert(site.wait_until_ready(kDaemons));
  cr_assert(refuses_bad_request(site, kDaemons));
}

// Guards against a quarantine that is forgotten where the store is away.
Test(crashing_request, what_was_learned_without_the_store_reaches_it) {
  CrashSite site;
  site.fake("PUT", "faults", "{\"outage\":true}");
  cr_assert(wait_for_leafs(site));
  for (int i = 0; i < kMostRetries; ++i) {
    site.call("bad" + std::to_string(i), "/query/bad");
  }
  cr_assert(refuses_bad_request(site, 0));
  site.fake("PUT", "faults", "{\"outage\":false}");
  for (std::size_t i = 1; i < kDaemons; ++i) {
    cr_assert(refuses_bad_request(site, i));
  }
}

}  // namespace
}  // namespace ibismux::testing
