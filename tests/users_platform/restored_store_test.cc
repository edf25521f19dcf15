// A store that comes back from an older copy, against daemons as processes.

#include "tests/users_platform/edge_site.h"

#include <criterion/criterion.h>
#include <signal.h>

#include <thread>

namespace ibismux::testing {
namespace {

constexpr std::size_t kDaemons = 3;

struct RestoredSite : EdgeSite {
  RestoredSite() : EdgeSite(kDaemons) {
    cr_assert(this->wait_until_all_ready());
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

  /// How many requests the store holds as quarantined.
  std::size_t quarantines() {
    return this->fake("GET", "quarantines").at("count").as_int64();
  }

  int number = 0;
};

// Guards against configurations passed over as the store's revisions went back.
Test(restored_store, configurations_are_in_force_again) {
  RestoredSite site;
  site.fake("POST", "save");
  site.fake("PUT", "config", configuration(5, desk_route("five")));
  cr_assert(site.served("/five/1"));
  site.fake("PUT", "config", configuration(6, desk_route("six")));
  cr_assert(site.served("/six/1"));
  site.fake("POST", "restore");
  site.fake("PUT", "config", configuration(8, desk_route("eight")));
  cr_assert(site.served("/eight/1"));
  for (std::size_t i = 0; i < kDaemons; ++i) {
    cr_assert(site.status(i, "/six/1") == 404);
  }
}

// Guards against a shard that is missing until its leafs write again.
Test(restored_store, leafs_that_the_copy_lacks_serve_on) {
  RestoredSite site;
  for (const char* index : {"0", "1", "2"}) {
    site.fake(
        "PUT", "leafs",
        std::string(R"({"service":"s1","gone":true,"index":)") + index + "}");
  }
  site.fake("POST", "save");
  site.fake("PUT", "leafs", R"({"service":"s1","restart":true})");
  cr_assert(wait_until([&] {
    return site.call("w" + std::to_string(++site.number), "/query/1")
               .value()
               .field("X-Missing-Parts") == "0";
  }));
  site.fake("POST", "restore");
  for (int i = 0; i < 150; ++i) {
    const auto answer = site.call("q" + std::to_string(i), "/query/1").value();
    cr_assert(answer.status == 200);
    cr_assert(answer.field("X-Missing-Parts") == "0");
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
}

// Guards against an evacuated zone that gets requests again.
Test(restored_store, an_evacuated_zone_stays_empty) {
  RestoredSite site;
  site.fake("POST", "save");
  site.fake("PUT", "zone", R"({"name":"z1","evacuated":true})");
  const auto by_zone_1 = [&] {
    return std::string(site.call("p" + std::to_string(++site.number), "/page/1")
                           .value()
                           .field("X-Server-Stamp"))
        .starts_with("i-desk-0.");
  };
  cr_assert(wait_until([&] { return !by_zone_1() && !by_zone_1(); }));
  site.fake("POST", "restore");
  for (int i = 0; i < 200; ++i) {
    cr_assert(!by_zone_1());
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
}

// Guards against a quarantine that only daemons of before the restore know of.
Test(restored_store, a_quarantine_is_written_again) {
  RestoredSite site;
  site.fake("POST", "save");
  site.let_requests_end_leafs("/query/bad");
  const auto is_refused = [&](std::size_t daemon) {
    return wait_until([&] { return site.status(daemon, "/query/bad") == 503; });
  };
  cr_assert(is_refused(0) && is_refused(1) && is_refused(2));
  site.fake("POST", "restore");
  cr_assert(wait_until([&] { return site.quarantines() == 1; }));
  for (std::size_t i = 0; i < kDaemons; ++i) {
    site.daemon(i).signal(SIGKILL);
  }
  site.start_daemon();
  cr_assert(site.wait_until_ready(kDaemons));
  cr_assert(is_refused(kDaemons));
}

}  // namespace
}  // namespace ibismux::testing
