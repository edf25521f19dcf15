#ifndef IBISMUX_MEMBERSHIP_MEMBERSHIP_ENGINE_H_
#define IBISMUX_MEMBERSHIP_MEMBERSHIP_ENGINE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "ibismux/base/ids.h"
#include "ibismux/base/time.h"
#include "ibismux/membership/commands.h"
#include "ibismux/membership/contact_book.h"
#include "ibismux/membership/member_table.h"
#include "ibismux/membership/membership_settings.h"
#include "ibismux/membership/overlay.h"

namespace ibismux::membership {

/// All decisions of membership, without sockets, clocks or a random source of
/// its own: SWIM's probes, indirect probes, suspicion and refutation, over the
/// fixed links of an `Overlay`.
///
/// Each call may leave commands; `take_commands()` hands them over. Not thread
/// safe. docs/design/membership.md gives the reasons.
class MembershipEngine {
 public:
  /// @param epoch Wall-clock seconds at the start, so that a restarted daemon
  /// usually supersedes its earlier run without a refutation.
  MembershipEngine(MembershipSettings settings,
                   Member self,
                   std::uint64_t epoch,
                   std::uint64_t seed,
                   TimePoint now);

  /// @name Inputs
  /// @{

  /// Call every `settings.tick`; a call that is much too late is taken as the
  /// end of a freeze.
  void tick(TimePoint now);
  /// What the settings name and, if it could be read, the platform's host list;
  /// replaces the former.
  void on_contacts(std::vector<Contact> contacts,
                   ContactSource source = ContactSource::kHostList);
  void on_gossip(const std::string& from,
                 const std::vector<MemberRecord>& records,
                 TimePoint now);
  [[nodiscard]] ProbeAnswer on_probe(const Incarnation& from,
                                     const ProbeMessage& message,
                                     TimePoint now);
  /// The result of a probe command; no answer: it failed or timed out.
  void on_probe_result(const std::string& target,
                       const std::optional<ProbeAnswer>& answer,
                       TimePoint now);
  /// The result of an indirect probe command.
  void on_indirect_result(const std::string& target,
                          bool reached,
                          TimePoint now);
  /// The connection to a peer broke: it is suspected at once.
  void on_lost(const Incarnation& who, TimePoint now);
  /// This daemon stops; tells the neighbours at once.
  void announce_leaving(TimePoint now);
  /// @}

  /// @name Outputs
  /// @{
  [[nodiscard]] Commands take_commands();
  /// A probe of `target` on behalf of another member.
  [[nodiscard]] ProbeMessage probe_message(const std::string& target) const;
  [[nodiscard]] const MemberTable& members() const noexcept {
    return this->table;
  }
  /// Rises with each change of the view.
  [[nodiscard]] std::uint64_t revision() const noexcept {
    return this->changes;
  }
  [[nodiscard]] MembershipView view() const;
  /// Members that may serve, by this daemon's view; at least 1.
  [[nodiscard]] std::size_t serving() const noexcept { return this->live; }
  /// @}

  /// See `MembershipSettings::start_period`.
  [[nodiscard]] bool is_starting(TimePoint now) const noexcept {
    return now - this->started < this->settings.start_period;
  }

 private:
  struct Flight {
    TimePoint begun;
    bool contact = false;  // Its failure means nothing.
    bool pull = false;
    std::size_t helpers = 0;  // Indirect probes without a result.
  };

  void accept(const MemberRecord& record,
              const std::string& source,
              TimePoint now);
  void add_differing(const ProbeMessage& message, ProbeAnswer& answer) const;
  void on_answer(const std::string& target,
                 const std::vector<MemberRecord>& records,
                 TimePoint now);
  void refute(const MemberRecord& claim, TimePoint now);
  void restate_self(const MemberRecord& fresh, TimePoint now);
  void note_change(const MemberRecord& record,
                   const std::string& source,
                   TimePoint now);

  /// `interval`, once more for each `members` members that serve.
  [[nodiscard]] std::chrono::milliseconds slowed(
      std::chrono::milliseconds interval,
      std::size_t members) const noexcept {
    return interval * static_cast<std::int64_t>(1 + this->live / members);
  }
  void recover_from_stall(TimePoint now);
  void settle_suspects(TimePoint now);
  /// Notes when this daemon has joined the others, or goes on alone.
  void settle_join(TimePoint now);
  void probe_next(TimePoint now);
  void try_contacts(TimePoint now);
  void flush_gossip();
  void rebuild_overlay();

  void probe(const std::string& target, bool contact, TimePoint now);
  void probe_failed(const std::string& target, TimePoint now);
  void pull(const std::string& target, std::size_t first, TimePoint now);
  void doubt(const std::string& target, TimePoint now);
  std::vector<std::string> choose_helpers(const std::string& target);

  const MembershipSettings settings;
  pcg64 random;
  MemberTable table;
  Overlay overlay;
  ContactBook contacts;
  Commands commands;

  std::map<std::string, Flight> flights;      // By target.
  std::map<std::string, TimePoint> suspects;  // When they count as failed.
  struct FreshRecord {
    MemberRecord record;
    std::string source;
  };
  std::deque<FreshRecord> to_gossip;

  std::uint64_t changes = 1;
  std::size_t live = 1;
  bool overlay_stale = false;
  bool list_heard = false;  // The platform's host list.
  bool joined = false;
  std::size_t turn = 0;
  TimePoint started;
  TimePoint last_tick;
  TimePoint resumed;  // When the last freeze ended.
  TimePoint last_change;
  TimePoint next_probe;
  TimePoint next_contact;
  TimePoint next_repair;
  TimePoint next_self_defence;
};

}  // namespace ibismux::membership

#endif  // IBISMUX_MEMBERSHIP_MEMBERSHIP_ENGINE_H_
