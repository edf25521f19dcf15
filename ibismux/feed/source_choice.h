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

/// From where a daemon receives the store's updates.
enum class Source : unsigned char { kStore, kPeers };

/// Parameters of `SourceChoice`.
struct SourceSettings {
  /// Number of daemons of each zone that always follow the store itself. If one
  /// fails, the watchers of other zones are asked until the next daemon of the
  /// zone has replaced it.
  std::size_t watchers = 1;
  /// Maximum number of daemons to which one daemon relays updates. Larger zones
  /// have more levels.
  std::size_t fan_out = 32;
  /// Peers whose last contact with the store is older than this are not relied
  /// on, and others are asked. Watchers contact the store at least once a
  /// second and report it twice a second.
  std::chrono::milliseconds fresh_for{1800};
  /// Age of the last contact from which on daemons read the store themselves. A
  /// leaf that is leaving must get no new work after three seconds.
  std::chrono::milliseconds self_help_after{2300};
  /// The daemons of a zone don't all read at the same time. The
  /// `first_helpers` daemons after the watchers read at `first_help_after`, so
  /// that the others can get updates from them. The rest of the zone follows
  /// within `help_spread` after `self_help_after`. A longer spread does harm:
  /// when the store rejects a part of the hosts and many changes arrive, asking
  /// peers takes seconds, and a host that waits for its turn instead of reading
  /// the store refuses routes that were added five seconds ago. With a tick of
  /// 250 ms and the duration of the read, the last daemon finishes before three
  /// seconds.
  std::size_t first_helpers = 2;
  std::chrono::milliseconds first_help_after{1800};
  std::chrono::milliseconds help_spread{200};
  /// A daemon that has heard from no peer for this long doesn't wait for its
  /// turn in the spread.
  std::chrono::milliseconds alone_after{1000};
  /// A watcher that reaches the store sends a message at least every
  /// `usual_pause`, with a last contact no older than `usual_age`. As soon as
  /// this fails, other peers are asked. If this happened only at `fresh_for`,
  /// there would be time for one question before the store counts as lost, and
  /// when the store rejects half of the hosts, leafs that have left would be
  /// called for up to four more seconds.
  std::chrono::milliseconds usual_age{1200};
  std::chrono::milliseconds usual_pause{900};
  /// Age of the last contact that other peers reported, from which on peers are
  /// asked again.
  std::chrono::milliseconds ask_from_age{600};
  /// Interval between questions to peers while there is no recent contact.
  std::chrono::milliseconds ask_interval{300};
  /// How long peers must report recent contacts before the daemon stops
  /// following the store. A daemon that has never followed it relies on the
  /// first recent contact: otherwise every daemon of a fleet that starts at the
  /// same time would start a watch and stop it shortly afterwards.
  std::chrono::milliseconds trust_after{1500};
};

/// Decides whether a daemon follows the store itself or relies on its peers,
/// and which peer it asks when they stop sending.
///
/// If every daemon of a large fleet watched the store, the number and the cost
/// of the calls would grow with the number of daemons times the number of
/// changes. Some watchers in each zone and one message to each other daemon
/// distribute the same updates.
///
/// Uses no sockets and no clock. Not thread safe.
class SourceChoice {
 public:
  SourceChoice(SourceSettings settings, TimePoint now);

  /// @name Inputs
  /// @{
  void on_view(const membership::MembershipView& view);
  /// The store answered this daemon.
  void on_store_contact(TimePoint now);
  /// A peer reported the age of its last contact with the store, of any age.
  void on_peer_contact(Duration age, TimePoint now);
  /// The daemon that pushes updates to this one reported the age of its last
  /// contact.
  void on_push(Duration age, TimePoint now);
  /// A peer answered a question. If its contact is no older than `usual_age`,
  /// it is asked first the next time.
  void on_answer(const std::string& peer, Duration age);
  /// A peer did not answer a question in time.
  void on_no_answer(const std::string& peer);
  /// Discards the recorded contacts, which may be older than they seem because
  /// the host was suspended.
  void invalidate(TimePoint now) noexcept;
  /// To be called several times a second. @return The peer to ask for updates,
  /// if any.
  [[nodiscard]] std::optional<std::string> tick(TimePoint now);
  /// @}

  /// @name Outputs
  /// @{
  [[nodiscard]] Source source() const noexcept { return this->current; }
  /// Whether this daemon is one of those that follow the store for their zone.
  [[nodiscard]] bool is_watcher() const noexcept { return this->watches; }
  /// The daemons to which updates are relayed.
  [[nodiscard]] const std::vector<std::string>& children() const noexcept {
    return this->tree.children();
  }
  /// Age of the last contact with the store, of this daemon or a peer.
  [[nodiscard]] Duration age(TimePoint now) const noexcept {
    return now - this->confirmed;
  }
  /// @}

 private:
  void choose(TimePoint now);
  /// Age of the last contact from which on this daemon reads the store.
  [[nodiscard]] Duration help_after(TimePoint now) const noexcept;
  /// Number of members after the watchers that may have read the store by now.
  [[nodiscard]] std::size_t helpers(TimePoint now) const noexcept;
  /// Whether the known state may soon be too old.
  [[nodiscard]] bool should_ask(TimePoint now) const noexcept;
  [[nodiscard]] std::optional<std::string> next_to_ask(TimePoint now);

  const SourceSettings settings;
  membership::SpreadTree tree;
  bool watches = true;
  Source current = Source::kStore;
  TimePoint confirmed;       ///< Time of the last contact with the store.
  TimePoint by_peers_until;  ///< Contacts of peers count as recent until then.
  TimePoint trusted_from =
      TimePoint::max();         ///< Since when peers report recent contacts.
  TimePoint heard_at;           ///< When a peer last reported a contact.
  bool has_followed = false;    ///< Whether a source was ever in use.
  bool relies_on_none = false;  ///< From `invalidate()` until a recent contact.
  TimePoint next_question;
  TimePoint pushed_until;  ///< Pushed contacts count as recent until then.
  std::optional<std::string> best;  ///< Its last answer had a recent contact.
  std::size_t turn = 0;
};

}  // namespace ibismux::feed

#endif  // IBISMUX_FEED_SOURCE_CHOICE_H_
