#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <fstream>
#include <string>
#include <vector>

#include "tests/process/declared_site.h"
#include "tests/process/recorded_load.h"

#include <criterion/criterion.h>

namespace ibismux {
namespace {

using testing::wait_until;

const std::vector<std::size_t> kAll{0, 1, 2, 3, 4, 5};
const std::vector<std::size_t> kLost{0, 3};  ///< Those of zone z1.
const std::vector<std::size_t> kLeft{1, 2, 4, 5};
const char* const kLostLeaf = "leaf-1";
constexpr int kQueries = 25;

/// Six daemons and three leafs in three zones; each shard lies on all leafs.
struct Zones : DeclaredSite {
  Zones() : DeclaredSite(kAll.size(), nullptr, 3) {}

  void lose_a_zone() {
    this->leaf_config(R"({"state":"down"})", kLostLeaf);
    for (const std::size_t daemon : kLost) {
      this->daemon(daemon).kill();
    }
  }
  void bring_it_back() {
    this->leaf_config(R"({"state":"ready"})", kLostLeaf);
    for (const std::size_t daemon : kLost) {
      this->replace_daemon(daemon);
    }
  }
  /// What answers many queries otherwise than in full; empty: nothing. The
  /// load beside them may fill the leafs that are left for a moment.
  std::string other_than_full() {
    for (int i = 0; i < kQueries; ++i) {
      for (const std::size_t daemon : kLeft) {
        const auto answer =
            this->call(daemon, "/v1/services/manuals/query", "torque");
        const auto body = boost::json::parse(answer.body).as_object();
        const bool full = answer.status == 200 &&
                          body.at("coverage").at("missing").as_array().empty();
        const auto* error = body.if_contains("error");
        if (!full && (error == nullptr || error->as_string() != "overloaded")) {
          return answer.body;
        }
      }
    }
    return {};
  }
  /// Whether the leaf of the lost zone comes to run more than `count` calls,
  /// while all daemons answer.
  bool lost_leaf_comes_to_run(std::size_t count) {
    return wait_until([this, count] {
      return this->come_to_answer(kAll) && this->runs_of_lost_leaf() > count;
    });
  }
  /// How many calls the leaf of the lost zone ran.
  std::size_t runs_of_lost_leaf() {
    std::size_t runs = 0;
    std::ifstream file(this->leaf_history());
    for (std::string line; std::getline(file, line);) {
      runs +=
          boost::json::parse(line).at("leaf").as_string() == kLostLeaf ? 1 : 0;
    }
    return runs;
  }
};

// Failure: a lost zone takes shards along that lie in others as well.
Test(zone_failure, answers_outlive_a_zone_and_take_it_back) {
  Zones site;
  cr_assert(site.come_to_see(kAll, kAll.size()));
  RecordedLoad load(site, kLeft, 31, 12);
  cr_assert(site.lost_leaf_comes_to_run(0));
  site.lose_a_zone();
  cr_assert(site.come_to_see(kLeft, kLeft.size()));
  cr_assert(site.come_to_answer(kLeft));
  const std::string other = site.other_than_full();
  cr_assert(other.empty(), "%s", other.c_str());
  cr_assert(load.end() > 0);
  site.bring_it_back();
  cr_assert(site.come_to_see(kAll, kAll.size()));
  const std::size_t before = site.runs_of_lost_leaf();
  cr_assert(site.lost_leaf_comes_to_run(before));
  const std::string violations =
      violations_in({load.history(), site.leaf_history()});
  cr_assert(violations.empty(), "%s", violations.c_str());
}

}  // namespace
}  // namespace ibismux
