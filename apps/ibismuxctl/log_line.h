#ifndef IBISMUX_APPS_IBISMUXCTL_LOG_LINE_H_
#define IBISMUX_APPS_IBISMUXCTL_LOG_LINE_H_

#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ibismux::ctl {

/// One line of a daemon's structured log.
struct LogLine {
  std::chrono::milliseconds at;  ///< Since 1970, by the clock of its host.
  std::string time;              ///< The same as it is written.
  std::string host;
  std::string event;
  boost::json::object fields;  ///< All of them.

  /// A field as plain text; empty where it is absent.
  [[nodiscard]] std::string text(std::string_view key) const;
  /// Tells how a caller's request ended; not what a peer gathered for it.
  [[nodiscard]] bool ends_request() const;
  /// A field as a number; 0 where it is none.
  [[nodiscard]] double number(std::string_view key) const;
};

/// The event that `line` holds, whatever a log collector has put before it;
/// nothing where it holds none. Thread safe.
[[nodiscard]] std::optional<LogLine> parse_log_line(std::string_view line);

}  // namespace ibismux::ctl

#endif  // IBISMUX_APPS_IBISMUXCTL_LOG_LINE_H_
