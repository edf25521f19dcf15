#ifndef TESTS_PROCESS_DECLARED_SITE_H_
#define TESTS_PROCESS_DECLARED_SITE_H_

#include <stdexcept>
#include <string>

#include "tests/support/site.h"

namespace ibismux {

/// The spec of a query service that can be told by its deadline.
inline std::string with_deadline(int milliseconds) {
  return "{\"deadline_ms\":" + std::to_string(milliseconds) + "}";
}

/// Daemons with the service "manuals" in force on all.
class DeclaredSite : public testing::Site {
 public:
  /// Throws std::runtime_error where the service did not come into force.
  explicit DeclaredSite(std::size_t daemons) {
    for (std::size_t i = 0; i < daemons; ++i) {
      this->start_daemon();
    }
    if (!this->declare_service(0)) {
      throw std::runtime_error("not in force:\n" + this->logs());
    }
  }

  bool comes_to_be_in_force(std::size_t daemon, int deadline) {
    return this->wait_for_deadline(daemon, "manuals", deadline);
  }

  bool comes_to_answer(std::size_t daemon) {
    return testing::wait_until(
        [this, daemon] { return this->answers_in_full(daemon); });
  }
};

}  // namespace ibismux

#endif  // TESTS_PROCESS_DECLARED_SITE_H_
