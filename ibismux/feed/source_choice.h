#ifndef IBISMUX_FEED_SOURCE_CHOICE_H_
#define IBISMUX_FEED_SOURCE_CHOICE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "ibismux/base/time.h"
#include "ibismux/membership/forward.h"
#include "ibismux/membership/spread_tree.h"

namespace ibismux::feed {

/// Where a daemon's updates from the store come from.
enum class Source : unsigned char { kStore, kPeers };

/// Pace of the choice of a source.
struct SourceSettings {
  /// Daemons of each zone that follow the store itself, whatever happens. Where
  /// one is lost, the watchers of other zones are asked until the next one of
  /// the zone has taken its place.
  std::size_t watchers = 1;
  /// Most daemons that one passes updates on to; a zone of more has a further
  /// level.
  std::size_t fan_out = 32;
  /// Updates of peers whose last contact with the store is older than this are
  /// not relied on: others are asked. Watchers reach the store each second at
  /// least, and pass it on twice a second.
  std::chrono::milliseconds fresh_for{1800};
  /// From this age on daemons read the store themselves. What leaves must take
  /// no new work after three seconds.
  std::chrono::milliseconds self_help_after{2300};
  /// Not all of them at the same moment: the first ones behind the watchers of
  /// each zone begin sooner, since the others can learn from them; the rest of
  /// a zone follows within `help_spread`. No longer than that: where the store
  /// turns away a part of the hosts and many changes come, asking peers takes
  /// seconds, and a host that waits for its turn in place of reading the store
  /// refuses routes that were added five seconds ago. With a tick of a quarter
  /// of a second and the reading itself, the last one is done before three.
  std::size_t first_helpers = 2;
  std::chrono::milliseconds first_help_after{1800};
  std::chrono::milliseconds help_spread{200};
  /// A daemon that no peer has told anything for so long can't rely on helpers.
  std::chrono::milliseconds alone_after{1000};
  /// While a watcher reaches the store, its last contact is no older than
  /// `usual_age` when it sends something, which it does each `usual_pause`.
  /// Once that fails, others are asked at once: at `fresh_for` only one of them
  /// could be asked before the store counted as lost, and where the store
  /// turned away half of the hosts, leafs that had left were called up to four
  /// seconds later.
  std::chrono::milliseconds usual_age{1200};
  std::chrono::milliseconds usual_pause{900};
  /// And asked again when the contact that they told of is as old as this.
  std::chrono::milliseconds ask_from_age{600};
  /// Between two questions to peers while there is no fresh contact.
  std::chrono::milliseconds ask_interval{300};
  /// Fresh contacts must come from peers for so long before the daemon stops
  /// following the store. One that has never followed it relies on the first:
  /// of a fleet that starts at once each would begin to watch otherwise, and
  /// leave off a moment later.
  std::chrono::milliseconds trust_after{1500};
};

/// Decides whether a daemon follows the store itself or relies on its peers,
/// and whom it asks when they stop sending.
///
/// Where every daemon of a large fleet watches the store, its calls and their
/// price grow with the fleet times the changes. A few watchers in each zone and
/// one message to each of the others bring the same updates.
///
/// No sockets, no clock of its own; not thread safe.
class SourceChoice {
 public:
  SourceChoice(SourceSettings settings, TimePoint now);

  /// @name Inputs
  /// @{
  void on_view(const membership::MembershipView& view);
  /// The store answered this daemon.
  void on_store_contact(TimePoint now);
  /// A peer told how old its last contact with the store is, however old.
  void on_peer_contact(Duration age, TimePoint now);
  /// So did the daemon that pushes updates to this one.
  void on_push(Duration age, TimePoint now);
  /// A peer answered a question. Where its contact is fresh it is asked first
  /// the next time.
  void on_answer(const std::string& peer, Duration age);
  /// It didn't, or not in time.
  void on_no_answer(const std::string& peer);
  /// Contacts may be older than they seem: the host was stalled.
  void invalidate(TimePoint now) noexcept;
  /// To be called some times a second. @return Whom to ask for updates, if any.
  [[nodiscard]] std::optional<std::string> tick(TimePoint now);
  /// @}

  /// @name Outputs
  /// @{
  [[nodiscard]] Source source() const noexcept { return this->current; }
  /// One of the few that follow the store for their zone.
  [[nodiscard]] bool is_watcher() const noexcept { return this->watches; }
  /// Whom updates are passed on to.
  [[nodiscard]] const std::vector<std::string>& children() const noexcept {
    return this->tree.children();
  }
  /// How old the last contact with the store is, whoever had it.
  [[nodiscard]] Duration age(TimePoint now) const noexcept {
    return now - this->confirmed;
  }
  /// @}

 private:
  void choose(TimePoint now);
  /// How old the last contact may get before this daemon reads the store.
  [[nodiscard]] Duration help_after(TimePoint now) const noexcept;
  /// How many of the members behind the watchers may read the store by now.
  [[nodiscard]] std::size_t helpers(TimePoint now) const noexcept;
  /// Whether what is known may soon be too old.
  [[nodiscard]] bool should_ask(TimePoint now) const noexcept;
  [[nodiscard]] std::optional<std::string> next_to_ask(TimePoint now);

  const SourceSettings settings;
  membership::SpreadTree tree;
  bool watches = true;
  Source current = Source::kStore;
  TimePoint confirmed;       ///< Of the last contact with the store.
  TimePoint by_peers_until;  ///< Words of peers are fresh up to here.
  TimePoint trusted_from = TimePoint::max();  ///< Since when without a gap.
  TimePoint heard_at;                         ///< Any peer told of its contact.
  bool has_followed = false;                  ///< The store, or peers.
  bool relies_on_none =
      false;  ///< Since `invalidate()`, until a fresh contact.
  TimePoint next_question;
  TimePoint pushed_until;           ///< Fresh contacts were pushed, up to here.
  std::optional<std::string> best;  ///< Whose last answer was a usual one.
  std::size_t turn = 0;
};

}  // namespace ibismux::feed

#endif  // IBISMUX_FEED_SOURCE_CHOICE_H_
