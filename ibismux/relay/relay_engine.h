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

/// Where a release came from.
enum class Origin : unsigned char { kPublishedHere, kPlatform, kPeer };

/// What the engine wants done.
struct RelayCommands {
  std::vector<std::string> pushes;   ///< Tell these of the release in force.
  std::optional<std::string> fetch;  ///< Ask this peer for what is newer.
  bool read_platform = false;        ///< Read the head there, once.
  std::optional<std::string> report_to;  ///< Send `subtree()` there.
};

/// All decisions of the spread of releases, without sockets, clocks or a random
/// source of its own. Knows generations only; contents are the store's.
///
/// Of fetches and reads there is one at a time each, and each gets exactly one
/// result. Not thread safe. docs/design/spread.md gives the reasons.
class RelayEngine {
 public:
  RelayEngine(RelaySettings settings, std::uint64_t seed, TimePoint now);

  /// @name Inputs
  /// @{
  void tick(TimePoint now);
  void on_view(const membership::MembershipView& view, TimePoint now);
  /// A release came into force here.
  void on_applied(Generation generation, Origin origin, TimePoint now);
  /// A peer says that it has `generation`, and how old its knowledge of the
  /// platform is.
  void on_push(const std::string& from,
               Generation generation,
               Duration age,
               TimePoint now);
  /// The result of a fetch: how old the peer's knowledge is; nothing if it
  /// failed.
  void on_fetched(std::optional<Duration> age, TimePoint now);
  /// The platform answered a watch or a read with its newest head.
  void on_platform_seen(TimePoint now);
  void on_platform_read_done() noexcept { this->reading = false; }
  void on_report(const std::string& child, Tallies tallies, TimePoint now);
  /// @}

  /// @name Outputs
  /// @{
  [[nodiscard]] RelayCommands take_commands();
  [[nodiscard]] const membership::SpreadTree& tree() const noexcept {
    return this->place;
  }
  /// How old this daemon's knowledge of the platform is.
  [[nodiscard]] Duration age(TimePoint now) const noexcept {
    return now - this->confirmed;
  }
  /// What is in force in the subtree of this daemon.
  [[nodiscard]] Tallies subtree() const;
  [[nodiscard]] Generation generation() const noexcept { return this->current; }
  /// @}

 private:
  struct Report {
    Tallies tallies;
    TimePoint when;
  };

  void note_age(Duration age, TimePoint now);
  void start_fetch(const std::string& from);
  void compare(TimePoint now);
  void help_self(TimePoint now);
  void report(TimePoint now);
  [[nodiscard]] Duration jittered(Duration pause);
  [[nodiscard]] double draw();

  const RelaySettings settings;
  pcg64 random;
  membership::SpreadTree place;
  membership::Overlay overlay;
  RelayCommands commands;

  Generation current = 0;
  bool fetching = false;
  bool reading = false;
  // A newer release that a peer offered while a fetch was under way.
  std::string offered_by;
  Generation offered = 0;

  std::size_t turn = 0;
  std::size_t fleet = 1;
  double start_share;  // In [0, 1): this daemon's place in a cold start.
  TimePoint started;
  TimePoint confirmed;  // Since when the platform may have something newer.
  TimePoint next_compare;
  TimePoint next_read;

  std::map<std::string, Report> reports;
  Tallies last_report;
  std::optional<std::string> last_parent;
  TimePoint next_report;
};

}  // namespace ibismux::relay

#endif  // IBISMUX_RELAY_RELAY_ENGINE_H_
