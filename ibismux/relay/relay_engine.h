#ifndef IBISMUX_RELAY_RELAY_ENGINE_H_
#define IBISMUX_RELAY_RELAY_ENGINE_H_

#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "ibismux/base/ids.h"
#include "ibismux/base/time.h"
#include "ibismux/membership/membership_view.h"
#include "ibismux/membership/overlay.h"
#include "ibismux/membership/spread_tree.h"
#include "ibismux/relay/relay_settings.h"
#include "ibismux/relay/tallies.h"

namespace ibismux::relay {

/// Where a daemon obtained a release.
enum class Origin : unsigned char { kPublishedHere, kPlatform, kPeer };

/// Actions that the engine requests from its owner.
struct RelayCommands {
  std::vector<std::string> pushes;   ///< Push the release in force to these.
  std::optional<std::string> fetch;  ///< Ask this peer for a newer release.
  bool read_platform = false;        ///< Read the platform's head once.
  /// Send `subtree_tallies()` to this peer.
  std::optional<std::string> report_to;
};

/// Makes all decisions of the distribution of releases. It uses no sockets and
/// no clock, and its random numbers depend on the seed alone. It handles
/// generations only; the release store holds the contents.
///
/// At most one fetch and one read of the platform run at a time. The caller
/// must report exactly one result for each. Not thread safe. See
/// docs/design/spread.md for the rationale.
class RelayEngine {
 public:
  RelayEngine(RelaySettings settings, std::uint64_t seed, TimePoint now);

  /// @name Inputs
  /// @{
  void tick(TimePoint now);
  void on_view(const membership::MembershipView& view, TimePoint now);
  /// A release was put in force on this daemon.
  void on_applied(Generation generation, Origin origin, TimePoint now);
  /// A peer announced that it has `generation`.
  /// @param age The age of the peer's knowledge of the platform.
  void on_push(const std::string& from,
               Generation generation,
               Duration age,
               TimePoint now);
  /// A fetch ended.
  /// @param age The age of the peer's knowledge of the platform; nullopt if the
  /// fetch failed.
  void on_fetched(std::optional<Duration> age, TimePoint now);
  /// The platform answered a watch or a read with its newest head.
  void on_platform_answered(TimePoint now);
  void on_platform_read_done() noexcept { this->reading = false; }
  void on_report(const std::string& child, Tallies tallies, TimePoint now);
  /// @}

  /// @name Outputs
  /// @{
  [[nodiscard]] RelayCommands take_commands();
  [[nodiscard]] const membership::SpreadTree& tree() const noexcept {
    return this->spread_tree;
  }
  /// The age of this daemon's knowledge of the platform.
  [[nodiscard]] Duration age(TimePoint now) const noexcept {
    return now - this->confirmed_at;
  }
  /// How many daemons of this daemon's subtree, itself included, have which
  /// generation in force.
  [[nodiscard]] Tallies subtree_tallies() const;
  [[nodiscard]] Generation generation() const noexcept { return this->current; }
  /// @}

 private:
  struct Report {
    Tallies tallies;
    TimePoint received_at;
  };

  void record_age(Duration age, TimePoint now);
  void start_fetch(const std::string& from);
  void compare_generations(TimePoint now);
  void read_platform_if_stale(TimePoint now);
  void report_to_parent(TimePoint now);
  [[nodiscard]] Duration jittered(Duration interval);
  [[nodiscard]] double random_fraction();

  const RelaySettings settings;
  pcg64 random;
  membership::SpreadTree spread_tree;
  membership::Overlay overlay;
  RelayCommands commands;

  Generation current = 0;
  bool fetching = false;
  bool reading = false;
  // A newer release that a peer announced while a fetch was running.
  std::string pending_peer;
  Generation pending_generation = 0;

  std::size_t comparison_count = 0;
  std::size_t fleet_size = 1;
  double cold_start_fraction;  // In [0, 1): part of the cold-start spread.
  TimePoint started_at;
  TimePoint confirmed_at;  // The platform may have a newer release since then.
  TimePoint next_compare;
  TimePoint next_read;

  std::map<std::string, Report> reports;
  Tallies last_report;
  std::optional<std::string> last_parent;
  TimePoint next_report;
};

}  // namespace ibismux::relay

#endif  // IBISMUX_RELAY_RELAY_ENGINE_H_
