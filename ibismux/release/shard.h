#ifndef IBISMUX_RELEASE_SHARD_H_
#define IBISMUX_RELEASE_SHARD_H_

#include <cstdint>
#include <string>
#include <vector>

namespace ibismux::release {

/// Keys hash into [0, kKeySpace).
inline constexpr std::uint32_t kKeySpace = 65536;

/// Object kind `shard`: one part of a service's key space and the backend
/// servers that each hold a whole copy of it.
struct Shard {
  std::string name;
  std::string service;
  std::uint32_t begin = 0;
  std::uint32_t end = kKeySpace;      ///< One past the last.
  std::vector<std::string> replicas;  ///< Names of `backend_server` objects.

  [[nodiscard]] bool operator==(const Shard&) const = default;
};

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_SHARD_H_
