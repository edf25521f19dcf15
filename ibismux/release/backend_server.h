#ifndef IBISMUX_RELEASE_BACKEND_SERVER_H_
#define IBISMUX_RELEASE_BACKEND_SERVER_H_

#include <chrono>
#include <cstdint>
#include <string>

namespace ibismux::release {

/// Object kind `backend_server`: one leaf.
struct BackendServer {
  std::string name;
  std::string address;  ///< IP number.
  std::uint16_t port = 0;
  std::string zone;                ///< Availability zone.
  std::uint32_t slots = 2;         ///< Calls that it runs at once.
  std::uint32_t connections = 25;  ///< Connections that it accepts, in all.
  /// About what opening a connection takes; new ones are paced by it.
  std::chrono::milliseconds connect_cost{6};
  bool leaving = false;  ///< Draining: no new work.

  [[nodiscard]] bool operator==(const BackendServer&) const = default;
};

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_BACKEND_SERVER_H_
