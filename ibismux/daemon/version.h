#ifndef IBISMUX_DAEMON_VERSION_H_
#define IBISMUX_DAEMON_VERSION_H_

#include <string_view>

namespace ibismux::daemon {

/// Version of all the programs; the CHANGELOG has an entry for each.
inline constexpr std::string_view kVersion = "0.1.0";

}  // namespace ibismux::daemon

#endif  // IBISMUX_DAEMON_VERSION_H_
