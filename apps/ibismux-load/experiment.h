#ifndef APPS_IBISMUX_LOAD_EXPERIMENT_H_
#define APPS_IBISMUX_LOAD_EXPERIMENT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/base/time.h"

namespace ibismux::load {

/// The requests to one query service.
struct ServiceLoad {
  std::string name;
  std::string group;  ///< Services of one group are reported together.
  bool reservation = false;
  double rate = 0;  ///< Requests a second, before the phase's factor.
  std::chrono::milliseconds deadline{0};  ///< 0: the service's own.
  std::size_t body_bytes = 64;
  std::uint32_t callers = 10;  ///< How many callers share the requests.

  /// @name Of reservations
  /// @{
  std::uint32_t items = 1000;
  std::uint32_t retries = 3;    ///< With the same key.
  bool keyed = true;            ///< Sent with an idempotency key.
  bool tickets = false;         ///< The key is a ticket of the daemon's.
  double burst_share = 0;       ///< Sent through all daemons at once.
  double other_body_share = 0;  ///< Repeated with another body: refused.
  /// @}
};

/// A stretch of time with a factor on the rates.
struct Phase {
  std::string name;
  std::chrono::seconds length{0};
  double factor = 1;
  std::map<std::string, double> groups;  ///< A factor for one group.

  [[nodiscard]] double factor_of(const std::string& group) const;
};

/// One run of the load tool, as its experiment file gives it.
struct Experiment {
  std::uint64_t seed = 1;
  std::size_t threads = 2;
  bool random_balance = false;  ///< Otherwise daemons take turns.
  std::chrono::milliseconds client_timeout{10'000};
  std::vector<ServiceLoad> services;
  std::vector<Phase> phases;

  [[nodiscard]] std::chrono::seconds length() const;
};

/// Reads an experiment file: JSON with comments.
/// Errors: kInvalidRequest, kNotFound, with the place in the file.
[[nodiscard]] Result<Experiment> read_experiment(const std::string& path);

}  // namespace ibismux::load

#endif  // APPS_IBISMUX_LOAD_EXPERIMENT_H_
