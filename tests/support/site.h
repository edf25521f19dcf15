#ifndef TESTS_SUPPORT_SITE_H_
#define TESTS_SUPPORT_SITE_H_

#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "ibismux/http/message.h"
#include "tests/support/bound_port.h"
#include "tests/support/process.h"
#include "tests/support/temporary_file.h"

namespace ibismux::testing {

class PeerCut;

/// A small site out of real processes: the stand-ins for the platform and for
/// three leafs, and daemons.
///
/// Its service "manuals" has shards s1 to s3, each on all leafs, and one
/// snapshot. Every wait is on a state that a process reports. A call that gets
/// no answer throws std::runtime_error. Not thread safe.
class Site {
 public:
  static constexpr std::size_t kLeafs = 3;

  /// With `cut`, which must live longer, daemons reach each other through it.
  /// Daemons and leafs take turns in the zones "z1" to "zN".
  explicit Site(PeerCut* cut = nullptr, std::size_t zones = 1);

  /// @name Daemons
  /// @{

  /// `stop.limit_ms` of the daemons that are started from now on.
  void set_stop_limit(std::chrono::milliseconds limit) {
    this->stop_limit = limit;
  }
  /// Starts one more and tells the platform's host list of it; its number.
  std::size_t start_daemon();
  /// Ends `daemon` with SIGTERM, and starts one of its name on other ports.
  void replace_daemon(std::size_t daemon);
  [[nodiscard]] Process& daemon(std::size_t daemon) {
    return this->daemons[daemon];
  }
  [[nodiscard]] std::size_t size() const { return this->daemons.size(); }
  /// What all processes logged, for the message of a failed test.
  [[nodiscard]] std::string logs() const;
  /// @}

  /// @name Stand-ins
  /// @{
  [[nodiscard]] Process& platform() { return this->platform_process; }
  /// Switches faults of the platform: a JSON object.
  void platform_faults(const std::string& change);
  [[nodiscard]] boost::json::object platform_stats();
  [[nodiscard]] std::size_t platform_object_count(
      const std::string& collection);
  /// Changes one leaf, or all: a JSON object.
  void leaf_config(const std::string& change, const std::string& leaf = "*");
  /// How many calls the leafs are running now.
  [[nodiscard]] std::size_t running_calls();
  /// How often leafs ran, or began, a reservation, by its key. Those that are
  /// still running are not counted yet.
  [[nodiscard]] std::map<std::string, std::size_t> reservation_runs();
  /// File of what the leafs ran, brought up to date.
  [[nodiscard]] const std::string& leaf_history();
  /// @}

  /// @name Operators, through one daemon
  /// @{
  http::Response operate(std::size_t daemon,
                         const std::string& method,
                         const std::string& target,
                         const std::string& body = {});
  /// Writes one object.
  http::Response declare(std::size_t daemon,
                         const std::string& object,
                         const std::string& spec);
  /// Writes all that the service needs, and waits until it is in force on every
  /// daemon. False where that did not come.
  bool declare_service(std::size_t daemon);

  [[nodiscard]] boost::json::object status(std::size_t daemon);
  [[nodiscard]] std::uint64_t generation(std::size_t daemon);
  /// How many daemons are alive, as `daemon` sees it.
  [[nodiscard]] std::size_t alive(std::size_t daemon);
  /// State of one object: pending, accepted, rejected or absent.
  [[nodiscard]] std::string state(std::size_t daemon,
                                  const std::string& object);
  /// On how many daemons an object is in force, as its status says on `daemon`.
  [[nodiscard]] std::size_t reached(std::size_t daemon,
                                    const std::string& object);
  bool wait_for_state(std::size_t daemon,
                      const std::string& object,
                      std::string_view state);
  /// `deadline_ms` of a query service as it is in force; 0 where there is none.
  [[nodiscard]] std::int64_t deadline_ms(std::size_t daemon,
                                         const std::string& service);
  bool wait_for_deadline(std::size_t daemon,
                         const std::string& service,
                         std::int64_t deadline_ms);
  bool wait_for_generation(std::size_t daemon, std::uint64_t generation);
  bool wait_until_ready(std::size_t daemon);
  /// @}

  /// @name Callers
  /// @{
  http::Response call(
      std::size_t daemon,
      const std::string& target,
      const std::string& body,
      std::vector<std::pair<std::string, std::string>> fields = {});
  /// Whether a query is answered with all three shards.
  bool answers_in_full(std::size_t daemon);
  /// @}

 private:
  [[nodiscard]] Process launch(std::size_t daemon);
  [[nodiscard]] std::string peer_address(std::size_t daemon) const;
  /// Of the daemon or leaf that is the `i`th, from 0.
  [[nodiscard]] std::string zone(std::size_t i) const;
  void publish_host_list();

  PeerCut* const cut;
  const std::size_t zones;
  std::chrono::milliseconds stop_limit{30'000};
  TemporaryFile history;           ///< What the leafs ran.
  tests::BoundPort platform_port;  ///< Held, or another test's may be dialled
                                   ///< when the platform is gone.
  Process platform_process;
  Process leafs;
  std::vector<Process> daemons;
};

}  // namespace ibismux::testing

#endif  // TESTS_SUPPORT_SITE_H_
