#ifndef IBISMUX_APPS_IBISMUXCTL_REQUEST_TRACE_H_
#define IBISMUX_APPS_IBISMUXCTL_REQUEST_TRACE_H_

#include <chrono>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "log_line.h"

namespace ibismux::ctl {

/// What the logs of any number of hosts say of one request: its own lines, and
/// what the hosts that handled it held to be true of the leafs and services in
/// them.
///
///     RequestTrace trace("5cb0459ea5f6c6cf");
///     for (each line) trace.add_own(line);
///     for (each line, again) trace.add_belief(line);
///     trace.cause();
///
/// Logs are read twice, since beliefs come before the lines that name their
/// leafs. Not thread safe.
class RequestTrace {
 public:
  explicit RequestTrace(std::string request) : request(std::move(request)) {}

  /// Keeps the line where it is about the request.
  void add_own(const LogLine& line);

  /// Keeps the line where it may explain the request's own. Precondition: all
  /// lines have been passed to `add_own()`.
  void add_belief(const LogLine& line);

  [[nodiscard]] bool found() const noexcept { return !this->own.empty(); }

  /// All lines kept, in the order of their times. Clocks of hosts differ.
  [[nodiscard]] std::vector<LogLine> lines() const;

  /// Why the request ended as it did, in one sentence. Precondition: `found()`.
  [[nodiscard]] std::string cause() const;

 private:
  // What a daemon believed this long before a request may still have steered
  // it.
  static constexpr std::chrono::seconds kBeliefsBefore{5};

  [[nodiscard]] const LogLine* last_end() const;
  /// Which limit the request was beyond, who decided that, and how old the
  /// decision was; empty if no line says it.
  [[nodiscard]] std::string why_refused(const LogLine& end) const;
  [[nodiscard]] std::string why_without(const std::string& service) const;

  const std::string request;
  std::vector<LogLine> own;
  std::vector<LogLine> beliefs;
  std::set<std::string> hosts;
  std::set<std::string> leafs;
  std::set<std::string> services;
  std::chrono::milliseconds begin = std::chrono::milliseconds::max();
  std::chrono::milliseconds end = std::chrono::milliseconds::min();
};

}  // namespace ibismux::ctl

#endif  // IBISMUX_APPS_IBISMUXCTL_REQUEST_TRACE_H_
