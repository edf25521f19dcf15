#ifndef TESTS_PROCESS_RECORDED_LOAD_H_
#define TESTS_PROCESS_RECORDED_LOAD_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "tests/process/declared_site.h"

namespace ibismux {

/// Callers of a site: the load tool sends queries and keyed reservations
/// through all daemons, some of these through all at once, and records the
/// answers.
class RecordedLoad {
 public:
  /// Begins at once. `burst_share` of the reservations go through all of
  /// `daemons` at once. Loads of one history need different seeds, since the
  /// bodies come from them.
  RecordedLoad(DeclaredSite& site,
               const std::vector<std::size_t>& daemons,
               int seed,
               int seconds,
               double burst_share = 0.2)
      : experiment(text(seed, seconds, burst_share)),
        process("ibismux-load",
                {"--daemons", callers(site, daemons), "--history",
                 this->file.name(), this->experiment.name()}) {}

  /// Waits for the last answer. @return How many requests were answered with
  /// what they asked for.
  std::uint64_t end() {
    const auto& groups = this->process.ready_line().at("groups").as_object();
    std::uint64_t least = UINT64_MAX;
    for (const auto& [name, group] : groups) {
      least = std::min(least, group.at("ok").to_number<std::uint64_t>());
    }
    (void)this->process.wait();
    return least;
  }
  /// File of what callers got. Precondition: ended.
  [[nodiscard]] const std::string& history() const { return this->file.name(); }

 private:
  static std::string text(int seed, int seconds, double burst_share) {
    return "{\"seed\":" + std::to_string(seed) +
           R"(,"client_timeout_ms":40000,"services":[
      {"name":"manuals","group":"queries","rate":40,"deadline_ms":1500},
      {"name":"manuals","group":"reservations","kind":"reservation","rate":40,
       "deadline_ms":1500,"items":50,"retries":3,"burst_share":)" +
           std::to_string(burst_share) + R"(}],
      "phases":[{"seconds":)" +
           std::to_string(seconds) + "}]}";
  }
  static std::string callers(DeclaredSite& site,
                             const std::vector<std::size_t>& daemons) {
    std::string list;
    for (const std::size_t i : daemons) {
      list += (list.empty() ? "127.0.0.1:" : ",127.0.0.1:") +
              std::to_string(site.daemon(i).port("caller"));
    }
    return list;
  }

  testing::TemporaryFile experiment;
  testing::TemporaryFile file;
  testing::Process process;
};

/// What `ibismux-check` holds against recorded histories; empty: nothing.
inline std::string violations_in(std::vector<std::string> files) {
  testing::Process check("ibismux-check", std::move(files));
  try {
    (void)check.ready_line();  // The summary, where no violation comes first.
  } catch (const std::exception& violation) {
    return violation.what();
  }
  return check.wait() == 0 ? "" : "unclear: " + check.log();
}

}  // namespace ibismux

#endif  // TESTS_PROCESS_RECORDED_LOAD_H_
