// A store that comes back from an older copy, against daemons as processes.

#include "tests/users_platform/edge_site.h"

#include <criterion/criterion.h>

namespace ibismux::testing {
namespace {

constexpr std::size_t kDaemons = 3;

std::string configuration(int version, const std::string& name) {
  return R"({"Version":)" + std::to_string(version) +
         R"(,"Routes":[{"Name":")" + name +
         R"(","Host":"search.example","PathPrefix":"/)" + name +
         R"(/","Type":"idempotent","TimeoutMs":1000,"TargetLatencyMs":200,)"
         R"("Service":"desk"}],"Services":[],)"
         R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,)"
         R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";
}

struct RestoredSite : EdgeSite {
  RestoredSite() : EdgeSite(kDaemons) {
    for (std::size_t i = 0; i < kDaemons; ++i) {
      cr_assert(this->wait_until_ready(i));
    }
  }

  int status(std::size_t daemon, const std::string& path) {
    const auto answer = this->call("r" + std::to_string(++this->number), path,
                                   "GET", {}, 5000, daemon);
    return answer ? answer->status : 0;
  }

  /// Waits until all daemons serve `path`.
  bool served(const std::string& path) {
    for (std::size_t i = 0; i < kDaemons; ++i) {
      if (!wait_until([&] { return this->status(i, path) == 200; })) {
        return false;
      }
    }
    return true;
  }

  int number = 0;
};

// Guards against configurations that are passed over, as the store's revisions
// are below those that a daemon has seen.
Test(restored_store, configurations_are_in_force_again) {
  RestoredSite site;
  site.fake("POST", "save");
  site.fake("PUT", "config", configuration(5, "five"));
  cr_assert(site.served("/five/1"));
  site.fake("PUT", "config", configuration(6, "six"));
  cr_assert(site.served("/six/1"));
  site.fake("POST", "restore");
  site.fake("PUT", "config", configuration(8, "eight"));
  cr_assert(site.served("/eight/1"));
  for (std::size_t i = 0; i < kDaemons; ++i) {
    cr_assert(site.status(i, "/six/1") == 404);
  }
}

}  // namespace
}  // namespace ibismux::testing
