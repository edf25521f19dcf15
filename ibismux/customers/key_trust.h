#ifndef IBISMUX_CUSTOMERS_KEY_TRUST_H_
#define IBISMUX_CUSTOMERS_KEY_TRUST_H_

#include <chrono>

#include "ibismux/base/error.h"
#include "ibismux/base/time.h"

namespace ibismux::customers {

/// Whether a daemon still accepts the keys that it knows, although it may have
/// missed the removal of one.
///
/// Uses no sockets and reads no clock; thread safe.
class KeyTrust {
 public:
  struct Settings {
    /// Refuses all keys once no news have come for `limit`. Otherwise keys are
    /// accepted however old the news are.
    bool strict = false;
    Duration limit = std::chrono::seconds(5);
  };

  explicit KeyTrust(Settings settings) noexcept : settings(settings) {}

  /// @param contact_age Time since this daemon, or a peer that told it, was
  /// last in contact with the store of keys; `Duration::max()` if there was no
  /// contact.
  /// Errors: kNotReady, with the time after which callers may come back;
  /// another daemon may know more.
  [[nodiscard]] Result<void> check(Duration contact_age) const;

 private:
  const Settings settings;
};

}  // namespace ibismux::customers

#endif  // IBISMUX_CUSTOMERS_KEY_TRUST_H_
