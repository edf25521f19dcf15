#ifndef IBISMUX_STORE_HOST_ENTRY_H_
#define IBISMUX_STORE_HOST_ENTRY_H_

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "ibismux/base/error.h"

namespace ibismux::store {

/// One host of a list of them, which lags behind the truth.
struct HostEntry {
  std::string name;
  std::string peer_address;  ///< "ip:port" of the daemon's peer port.
  std::string zone;
  bool leaving = false;
  /// Daemons of each zone, as this host saw them when it wrote its entry. Empty
  /// where entries don't tell.
  std::map<std::string, std::size_t, std::less<>> fleet = {};

  /// All daemons that it saw; 0: unknown.
  [[nodiscard]] std::size_t fleet_size() const noexcept;
};

/// An entry as daemons write it, and back. Errors: kProtocolError. Thread safe.
/// @{
[[nodiscard]] std::string encode(const HostEntry& entry);
[[nodiscard]] Result<HostEntry> decode_host_entry(std::string_view value);
/// @}

}  // namespace ibismux::store

#endif  // IBISMUX_STORE_HOST_ENTRY_H_
