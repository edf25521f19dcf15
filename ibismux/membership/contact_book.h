#ifndef IBISMUX_MEMBERSHIP_CONTACT_BOOK_H_
#define IBISMUX_MEMBERSHIP_CONTACT_BOOK_H_

#include <cstdint>
#include <string>
#include <vector>

#include "ibismux/base/zone_sizes.h"
#include "ibismux/membership/member_table.h"

namespace ibismux::membership {

/// Where a daemon may be: a host of the platform's list or of the settings.
struct Contact {
  std::string name;     ///< Of the member, or "ip:port" where it isn't known.
  std::string address;  ///< IP number.
  std::uint16_t port = 0;
  /// Daemons of each zone, as it saw them when it was listed; empty: unknown.
  ZoneSizes fleet = {};
};

/// Who named a contact.
enum class ContactSource : unsigned char { kSettings, kHostList };

/// Hosts to be tried: those listed but not met, and failed members, since a
/// partition makes each half take the other for failed. Not thread safe.
class ContactBook {
 public:
  /// Replaces the listed hosts. A host that is gone from the list stays a
  /// member for as long as it answers; the list lags.
  void list(std::vector<Contact> contacts) {
    this->listed = std::move(contacts);
  }

  /// Names of all that are worth trying, given what `table` knows.
  [[nodiscard]] std::vector<std::string> untried(
      const MemberTable& table) const;

 private:
  std::vector<Contact> listed;
};

}  // namespace ibismux::membership

#endif  // IBISMUX_MEMBERSHIP_CONTACT_BOOK_H_
