#ifndef IBISMUX_DISPATCH_LINK_SHARE_H_
#define IBISMUX_DISPATCH_LINK_SHARE_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace ibismux::dispatch {

/// Among how many daemons a leaf's connections are divided.
struct LinkSharers {
  std::size_t hosts = 1;       ///< All daemons.
  std::size_t zone_hosts = 1;  ///< Those of the leaf's zone.
  bool same_zone = true;       ///< This daemon is one of the latter.
};

/// How many links this daemon may have to one leaf, so that all daemons
/// together stay below what the leaf accepts, whatever the others do: a leaf
/// resets connections beyond its limit, and the requests on them with it.
///
/// Where there are at least two for each daemon, all get the same. Where there
/// are fewer, daemons of the leaf's zone come first, since they send it most;
/// of the others a fixed part gets one, chosen by a hash of both names, and the
/// rest none: for them another replica has one.
///
/// Thread safe.
/// @param connections What the leaf accepts from all daemons; 0: unknown, one
/// is allowed.
[[nodiscard]] std::size_t link_share(std::size_t connections,
                                     const LinkSharers& sharers,
                                     std::string_view self,
                                     std::string_view leaf);

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_LINK_SHARE_H_
