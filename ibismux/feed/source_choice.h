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
  std::chrono::milliseconds max_contact_age{1800};
  /// Age of the last contact from which on daemons read the store themselves. A
  /// leaf that is leaving must get no new work after three seconds.
  std::chrono::milliseconds read_after{2300};
  /// The daemons of a zone don't all read at the same time. The
  /// `early_readers` daemons after the watchers read at `early_read_after`, so
  /// that the others can get updates from them. The rest of the zone follows
  /// within `read_spread` after `read_after`. A longer spread does harm:
  /// when the store rejects a part of the hosts and many changes arrive, asking
  /// peers takes seconds, and a host that waits for its turn instead of reading
  /// the store refuses routes that were added five seconds ago. With a tick of
  /// 250 ms and the duration of the read, the last daemon finishes before three
  /// seconds.
  std::size_t early_readers = 2;
  std::chrono::milliseconds early_read_after{1800};
  std::chrono::milliseconds read_spread{200};
  /// A daemon that has heard from no peer for this long doesn't wait for its
  /// turn in the spread.
  std::chrono::milliseconds isolated_after{1000};
  /// A watcher that reaches the store sends a message at least every
  /// `expected_push_interval`, with a last contact no older than
  /// `expected_contact_age`. As soon as this fails, other peers are asked. If
  /// this happened only at `max_contact_age`, there would be time for one
  /// question before the store counts as lost, and when the store rejects half
  /// of the hosts, leafs that have left would be called for up to four more
  /// seconds.
  std::chrono::milliseconds expected_contact_age{1200};
  std::chrono::milliseconds expected_push_interval{900};
  /// Age of the last contact that other peers reported, from which on peers are
  /// asked again.
  std::chrono::milliseconds ask_after_age{600};
  /// Interval between questions to peers while there is no recent contact.
  std::chrono::milliseconds ask_interval{300};
  /// How long peers must report recent contacts before the daemon stops
  /// following the store. A daemon that has never followed it relies on the
  /// first recent contact: otherwise every daemon of a fleet that starts at the
  /// same time would start a watch and stop it shortly afterwards.
  std::chrono::milliseconds peer_trust_delay{1500};
  /// Whether a daemon whose contacts are too old asks the store by a cheap read
  /// before it reads collections, and whether only a few daemons ask often.
  bool few_probes = false;
};

/// Decides whether a daemon follows the store itself or relies on its peers,
/// and which peer it asks when they stop sending.
///
/// If every daemon of a large fleet watched the store, the number and the cost
/// of the calls would grow with the number of daemons times the number of
/// changes. A few watchers in each zone and one message to each other daemon
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
  /// A peer answered a question. If its contact is no older than
  /// `expected_contact_age`, it is asked first the next time.
  void on_answer(const std::string& peer, Duration age);
  /// A peer did not answer a question in time.
  void on_no_answer(const std::string& peer);
  /// Discards the recorded contacts, which may be older than they seem because
  /// the host was suspended.
  void invalidate(TimePoint now) noexcept;
  /// This daemon reads the collections, so it no longer probes.
  void stop_probing() noexcept { this->probing = false; }
  /// To be called several times a second. @return The peer to ask for updates,
  /// if any.
  [[nodiscard]] std::optional<std::string> tick(TimePoint now);
  /// @}

  /// @name Outputs
  /// @{
  [[nodiscard]] Source source() const noexcept { return this->current; }
  /// Whether this daemon has turned from its peers to the store because their
  /// contacts were too old, and has read nothing from it since. It reads the
  /// collections only after the store has answered a cheap read, and returns to
  /// its peers at their first recent contact.
  [[nodiscard]] bool is_probing() const noexcept { return this->probing; }
  /// Whether this daemon asks a store often that doesn't answer: others rely on
  /// it, or no peer tells it of the store.
  [[nodiscard]] bool asks_often(TimePoint now) const noexcept {
    return this->watches || this->is_early_reader() || this->is_isolated(now);
  }
  /// Whether no peer has told this daemon of the store of late.
  [[nodiscard]] bool is_isolated(TimePoint now) const noexcept {
    return this->has_invalid_contacts ||
           now - this->last_peer_report > this->settings.isolated_after;
  }
  /// Whether this daemon is one of those that follow the store for their zone.
  [[nodiscard]] bool is_watcher() const noexcept { return this->watches; }
  /// The daemons to which updates are relayed.
  [[nodiscard]] const std::vector<std::string>& children() const noexcept {
    return this->tree.children();
  }
  /// Age of the last contact with the store, of this daemon or a peer.
  [[nodiscard]] Duration age(TimePoint now) const noexcept {
    return now - this->last_contact;
  }
  /// @}

 private:
  void choose(TimePoint now);
  /// The lower ranks of a zone belong to the watchers and the early readers.
  [[nodiscard]] std::size_t first_regular_rank() const noexcept {
    return this->settings.watchers + this->settings.early_readers;
  }
  [[nodiscard]] bool is_early_reader() const noexcept {
    return this->tree.zone_rank() < this->first_regular_rank();
  }
  /// Age of the last contact from which on this daemon reads the store.
  [[nodiscard]] Duration own_read_after(TimePoint now) const noexcept;
  /// Number of members after the watchers that may have read the store by now.
  [[nodiscard]] std::size_t allowed_readers(TimePoint now) const noexcept;
  /// Whether the known state may soon be too old.
  [[nodiscard]] bool should_ask(TimePoint now) const noexcept;
  [[nodiscard]] std::optional<std::string> next_to_ask(TimePoint now);

  const SourceSettings settings;
  membership::SpreadTree tree;
  bool watches = true;
  Source current = Source::kStore;
  bool probing = false;
  /// Last contact with the store, of this daemon or a peer.
  TimePoint last_contact;
  /// The contacts of peers count as recent until then.
  TimePoint peers_recent_until;
  /// Since when peers have reported recent contacts without a gap.
  TimePoint peers_recent_since = TimePoint::max();
  /// When any peer last reported a contact, of any age.
  TimePoint last_peer_report;
  /// Whether the store or peers were ever a usable source.
  bool has_had_source = false;
  /// Set from `invalidate()` until a recent contact.
  bool has_invalid_contacts = false;
  TimePoint next_question;
  /// The contacts that were pushed to this daemon count as recent until then.
  TimePoint pushes_recent_until;
  /// A peer whose last answer had a recent contact.
  std::optional<std::string> preferred_peer;
  std::size_t round_robin_index = 0;
};

}  // namespace ibismux::feed

#endif  // IBISMUX_FEED_SOURCE_CHOICE_H_
