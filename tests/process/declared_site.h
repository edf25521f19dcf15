#ifndef TESTS_PROCESS_DECLARED_SITE_H_
#define TESTS_PROCESS_DECLARED_SITE_H_

#include <algorithm>
#include <stdexcept>
#include <string>
#include <vector>

#include "tests/support/site.h"

namespace ibismux {

/// The spec of a query service that can be told by its deadline.
inline std::string with_deadline(int milliseconds) {
  return "{\"deadline_ms\":" + std::to_string(milliseconds) + "}";
}

/// Daemons that are ready, with the service "manuals" in force on all.
class DeclaredSite : public testing::Site {
 public:
  /// Throws std::runtime_error where the service did not come into force.
  explicit DeclaredSite(std::size_t daemons,
                        testing::PeerCut* cut = nullptr,
                        std::size_t zones = 1)
      : Site(cut, zones) {
    for (std::size_t i = 0; i < daemons; ++i) {
      this->start_daemon();
    }
    if (!this->declare_service(0)) {
      throw std::runtime_error("not in force:\n" + this->logs());
    }
    for (std::size_t i = 0; i < daemons; ++i) {
      if (!this->wait_until_ready(i)) {
        throw std::runtime_error("not ready:\n" + this->logs());
      }
    }
  }

  bool comes_to_be_in_force(std::size_t daemon, int deadline) {
    return this->wait_for_deadline(daemon, "manuals", deadline);
  }

  /// Whether each of `daemons` comes to see `count` daemons alive.
  bool come_to_see(const std::vector<std::size_t>& daemons, std::size_t count) {
    return testing::wait_until([&] {
      return std::all_of(daemons.begin(), daemons.end(), [&](std::size_t i) {
        return this->alive(i) == count;
      });
    });
  }

  /// Lets answers with a part of the shards pass, so that what they say of
  /// their coverage can be held against the leafs' record.
  bool comes_to_answer_in_part() {
    constexpr int kDeadline = 5001;  // Tells when it is in force.
    this->declare(
        0, "query_service:manuals",
        R"({"deadline_ms":5001,"answer_by_ms":400,"min_coverage":0.1})");
    bool everywhere = true;
    for (std::size_t i = 0; i < this->size(); ++i) {
      everywhere = everywhere && this->comes_to_be_in_force(i, kDeadline);
    }
    return everywhere;
  }

  bool comes_to_answer(std::size_t daemon) {
    return testing::wait_until(
        [this, daemon] { return this->answers_in_full(daemon); });
  }
  bool come_to_answer(const std::vector<std::size_t>& daemons) {
    return std::all_of(daemons.begin(), daemons.end(), [this](std::size_t i) {
      return this->comes_to_answer(i);
    });
  }

  /// Whether leafs come to run reservations under more than `count` keys.
  bool come_to_run(std::size_t count) {
    return testing::wait_until(
        [this, count] { return this->reservation_runs().size() > count; });
  }
};

}  // namespace ibismux

#endif  // TESTS_PROCESS_DECLARED_SITE_H_
