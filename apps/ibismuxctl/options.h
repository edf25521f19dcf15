#ifndef IBISMUX_APPS_IBISMUXCTL_OPTIONS_H_
#define IBISMUX_APPS_IBISMUXCTL_OPTIONS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "ibismux/base/error.h"

namespace ibismux::ctl {

/// Where a daemon's operator port is.
struct Address {
  std::string host;  ///< IP number.
  std::uint16_t port = 0;
};

/// The command line.
struct Options {
  std::vector<Address> addresses;  ///< Tried in order.
  std::string command;
  std::vector<std::string> arguments;
  std::string who;
  bool json = false;
  bool wait = false;
  bool dry_run = false;
  bool help = false;
  std::chrono::seconds timeout{30};
  std::optional<std::uint64_t> if_match;
  std::optional<std::uint64_t> since;
  std::optional<std::uint64_t> from;
  std::uint64_t limit = 100;
};

/// Errors: kInvalidRequest, one line.
[[nodiscard]] Result<Options> parse_options(int count, char** words);

[[nodiscard]] std::string help_text();

}  // namespace ibismux::ctl

#endif  // IBISMUX_APPS_IBISMUXCTL_OPTIONS_H_
