#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <map>
#include <set>
#include <string>

#include "tests/process/declared_site.h"

#include <criterion/criterion.h>

namespace ibismux {
namespace {

namespace json = boost::json;

constexpr int kRounds = 6;
constexpr int kDone = 0;
constexpr int kRefused = 3;  ///< Rejected, a conflict, or not found.

/// `ibismuxctl apply` of one object, begun at once.
class Apply {
 public:
  Apply(DeclaredSite& site,
        std::size_t daemon,
        const std::string& object,
        std::vector<std::string> more = {})
      : file(object),
        process("ibismuxctl",
                arguments(site, daemon, this->file.name(), std::move(more))) {}

  /// The exit code.
  int end() { return this->process.wait().value_or(-1); }
  /// Whether it says `text` on its standard error.
  [[nodiscard]] bool says(const std::string& text) const {
    return this->process.log().find(text) != std::string::npos;
  }
  [[nodiscard]] std::string log() const { return this->process.log(); }

 private:
  static std::vector<std::string> arguments(DeclaredSite& site,
                                            std::size_t daemon,
                                            const std::string& file,
                                            std::vector<std::string> more) {
    const auto port = site.daemon(daemon).port("operator");
    more.insert(more.end(), {"--address", "127.0.0.1:" + std::to_string(port),
                             "--operator", "operator-" + std::to_string(daemon),
                             "--timeout", "50", "--wait", "apply", file});
    return more;
  }

  testing::TemporaryFile file;
  testing::Process process;
};

/// Two daemons, for an operator each, on a platform with `faults`.
struct Race : DeclaredSite {
  explicit Race(const std::string& faults) : DeclaredSite(2) {
    this->platform_faults(faults);
  }

  std::uint64_t version(const std::string& object) {
    const auto answer = this->operate(0, "GET", "/v1/objects/" + object);
    return json::parse(answer.body).at("version").to_number<std::uint64_t>();
  }
  json::array audit() {
    const auto answer = this->operate(1, "GET", "/v1/audit?limit=1000");
    return json::parse(answer.body).at("changes").as_array();
  }
};

std::string manuals(int deadline) {
  return R"({"kind":"query_service","name":"manuals","spec":)" +
         with_deadline(deadline) + "}";
}

std::string snapshot(const std::string& name, int sequence) {
  return R"({"kind":"snapshot","name":")" + name +
         R"(","spec":{"service":"manuals","shards":["s1","s2","s3"],)" +
         R"("sequence":)" + std::to_string(sequence) + "}}";
}

/// Whether the audit trail tells of `object` just the changes to the versions
/// in `writers`, each by its operator and from where the one before ended, and
/// of no change of any object twice.
bool tells_all(const json::array& audit,
               const std::string& object,
               const std::map<std::uint64_t, std::string>& writers) {
  std::set<std::string> ids;
  std::map<std::uint64_t, std::string> told;
  std::uint64_t at = 0;
  bool in_order = true;
  for (const json::value& change : audit) {
    ids.emplace(change.at("change_id").as_string());
    if (change.at("object").as_string() == object) {
      in_order = in_order &&
                 change.at("from_version").to_number<std::uint64_t>() == at;
      at = change.at("to_version").to_number<std::uint64_t>();
      told.emplace(at, change.at("operator").as_string());
    }
  }
  return in_order && told == writers && ids.size() == audit.size();
}

/// Two operators write the same object, from the same version, again and again.
void race_for_one_object(const std::string& faults) {
  Race race(faults);
  std::uint64_t version = race.version("query_service/manuals");
  std::map<std::uint64_t, std::string> writers{{version, "test"}};
  for (int round = 0; round < kRounds; ++round) {
    const std::vector<std::string> match{"--if-match", std::to_string(version)};
    Apply a(race, 0, manuals(4000 + round), match);
    Apply b(race, 1, manuals(4500 + round), match);
    const int first = a.end();
    const int second = b.end();
    cr_assert((first == kDone && second == kRefused) ||
                  (first == kRefused && second == kDone),
              "%d, %d: %s%s", first, second, a.log().c_str(), b.log().c_str());
    version = race.version("query_service/manuals");
    const Apply& loser = first == kDone ? b : a;
    cr_assert(loser.says("the current version is " + std::to_string(version)),
              "%s", loser.log().c_str());
    writers[version] = first == kDone ? "operator-0" : "operator-1";
    const int deadline = (first == kDone ? 4000 : 4500) + round;
    cr_assert(race.comes_to_be_in_force(0, deadline));
    cr_assert(race.comes_to_be_in_force(1, deadline));
  }
  race.platform_faults(R"({"lose_answers":0})");
  cr_assert(tells_all(race.audit(), "query_service:manuals", writers));
}

/// Two operators write a snapshot each, of one sequence number, which only one
/// may have.
void race_for_one_place(const std::string& faults) {
  Race race(faults);
  for (int round = 0; round < kRounds; ++round) {
    const std::string names[] = {"a" + std::to_string(round),
                                 "b" + std::to_string(round)};
    Apply a(race, 0, snapshot(names[0], 2 + round));
    Apply b(race, 1, snapshot(names[1], 2 + round));
    const int codes[] = {a.end(), b.end()};
    const std::size_t won = codes[0] == kDone ? 0 : 1;
    const std::size_t lost = 1 - won;
    cr_assert(codes[won] == kDone && codes[lost] == kRefused, "%d, %d: %s%s",
              codes[0], codes[1], a.log().c_str(), b.log().c_str());
    const Apply& loser = won == 0 ? b : a;
    // The reason names both, in the order of their names.
    cr_assert(loser.says("snapshot/" + names[lost] + ": rejected: ") &&
                  loser.says("spec.sequence must be unique in its service") &&
                  loser.says("snapshot/" + names[won]),
              "%s", loser.log().c_str());
    cr_assert(race.version("snapshot/" + names[won]) <
                  race.version("snapshot/" + names[lost]),
              "not the one written first");
    for (std::size_t daemon : {0, 1}) {
      cr_assert(
          race.wait_for_state(daemon, "snapshot:" + names[won], "accepted"));
      cr_assert(
          race.wait_for_state(daemon, "snapshot:" + names[lost], "rejected"));
    }
    const std::uint64_t version = race.version("snapshot/" + names[won]);
    race.platform_faults(R"({"lose_answers":0})");
    const json::array audit = race.audit();
    cr_assert(tells_all(audit, "snapshot:" + names[won],
                        {{version, "operator-" + std::to_string(won)}}));
    cr_assert(tells_all(audit, "snapshot:" + names[lost], {}));
    race.platform_faults(faults);
  }
}

// Failure: one of two changes to one version is lost, or not told why.
Test(operator_race, one_of_two_with_one_version_is_told_of_a_conflict) {
  race_for_one_object("{}");
}

// Failure: as above; or he who won is told of a conflict with himself.
Test(operator_race, lost_answers_make_no_conflict_and_hide_none) {
  race_for_one_object(R"({"lose_answers":0.4,"seed":7})");
}

// Failure: two changes that exclude each other both hold, or neither.
Test(operator_race, one_of_two_that_exclude_each_other_is_accepted) {
  race_for_one_place("{}");
}

// Sequence: as above, and four in ten answers of the platform get lost.
Test(operator_race, lost_answers_let_only_one_of_two_in) {
  race_for_one_place(R"({"lose_answers":0.4,"seed":8})");
}

}  // namespace
}  // namespace ibismux
