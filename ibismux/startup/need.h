#ifndef IBISMUX_STARTUP_NEED_H_
#define IBISMUX_STARTUP_NEED_H_

#include <cstddef>

namespace ibismux::startup {

/// What a daemon that has just started may still lack to serve a request.
enum class Need : unsigned char {
  kConfiguration,  ///< Or the leafs; both are read from the store.
  kRateOwners,     ///< Of the limits of customers, among the members.
};
inline constexpr std::size_t kNeeds = 2;

}  // namespace ibismux::startup

#endif  // IBISMUX_STARTUP_NEED_H_
