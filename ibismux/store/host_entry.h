#ifndef IBISMUX_STORE_HOST_ENTRY_H_
#define IBISMUX_STORE_HOST_ENTRY_H_

#include <string>
#include <string_view>

#include "ibismux/base/error.h"
#include "ibismux/base/zone_sizes.h"

namespace ibismux::store {

/// One host of a list of them, which lags behind the truth.
struct HostEntry {
  std::string name;
  std::string peer_address;  ///< "ip:port" of the daemon's peer port.
  std::string zone;
  bool leaving = false;
  /// Daemons of each zone, as this host saw them when it wrote its entry. Empty
  /// where entries don't tell.
  ZoneSizes fleet = {};
};

/// An entry as daemons write it, and back. Errors: kProtocolError. Thread safe.
/// @{
[[nodiscard]] std::string encode(const HostEntry& entry);
[[nodiscard]] Result<HostEntry> decode_host_entry(std::string_view value);
/// @}

}  // namespace ibismux::store

#endif  // IBISMUX_STORE_HOST_ENTRY_H_
