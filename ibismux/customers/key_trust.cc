#include "ibismux/customers/key_trust.h"

#include <chrono>
#include <string>
#include <utility>

namespace ibismux::customers {

namespace {

using std::chrono::milliseconds;

// News come at any moment, and other daemons may have them already.
constexpr milliseconds kRetryAfter{200};

}  // namespace

Result<void> KeyTrust::check(Duration contact_age) const {
  if (!this->settings.strict || contact_age <= this->settings.limit) {
    return {};
  }
  const auto whole_millis = [](Duration duration) {
    return std::to_string(
        std::chrono::duration_cast<milliseconds>(duration).count());
  };
  const std::string age = contact_age == Duration::max()
                              ? "none yet"
                              : whole_millis(contact_age) + " ms old";
  Error error = make_error(ErrorKind::kNotReady,
                           "keys may be out of date: the last news are " + age +
                               ", the limit is " +
                               whole_millis(this->settings.limit) + " ms");
  error.execution = Execution::kNotRun;
  error.retry_after = kRetryAfter;
  return tl::unexpected(std::move(error));
}

}  // namespace ibismux::customers
