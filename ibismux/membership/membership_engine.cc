#include "ibismux/membership/membership_engine.h"

#include <algorithm>
#include <utility>

namespace ibismux::membership {

namespace {

using State = Member::State;

/// How often a daemon answers another run that claims its name.
constexpr std::chrono::seconds kSelfDefence{1};
/// Contacts that a daemon without members tries at once.
constexpr std::size_t kFirstContacts = 3;
/// How often, at most, a table that differs from a neighbour's is repaired: the
/// neighbour may be the one that lacks something, and repairs itself.
constexpr std::chrono::seconds kRepairInterval{5};
/// The pace of contacts falls with the fleet: there are more to do it.
constexpr std::size_t kMembersPerContactInterval = 100;
/// The same for repairs during the start: tables are larger.
constexpr std::size_t kMembersPerStartInterval = 500;

}  // namespace

MembershipEngine::MembershipEngine(MembershipSettings settings,
                                   Member self,
                                   std::uint64_t epoch,
                                   std::uint64_t seed,
                                   TimePoint now)
    : settings(settings),
      random(seed),
      table(MemberRecord{std::move(self), epoch}, now),
      overlay(settings.rings),
      started(now),
      last_tick(now),
      resumed(now),
      last_change(now),
      next_probe(now),
      next_contact(now),
      next_repair(now),
      next_self_defence(now) {}

void MembershipEngine::tick(TimePoint now) {
  if (now - this->last_tick > this->settings.stall) {
    this->recover_from_stall(now);
  }
  this->last_tick = now;
  this->settle_suspects(now);
  this->rebuild_overlay();
  this->settle_join(now);
  if (now >= this->next_probe) {
    this->next_probe =
        now + (this->is_starting(now) ? std::min(this->settings.start_interval,
                                                 this->settings.probe_interval)
                                      : this->settings.probe_interval);
    this->probe_next(now);
  }
  if (now >= this->next_contact) {
    const bool is_alone = this->is_starting(now) && this->live <= 1;
    this->next_contact =
        now + (is_alone ? this->settings.start_interval
                        : this->slowed(this->settings.contact_interval,
                                       kMembersPerContactInterval));
    this->try_contacts(now);
    this->table.drop_tombstones(now - this->settings.tombstones);
  }
  this->flush_gossip();
}

/// A daemon that was frozen finds all its timers expired. Without this it would
/// take every member whose answer it slept through for failed, and tell others.
void MembershipEngine::recover_from_stall(TimePoint now) {
  this->resumed = now;
  this->flights.clear();
  for (auto& [name, deadline] : this->suspects) {
    deadline = now + this->settings.suspicion;
  }
}

void MembershipEngine::settle_suspects(TimePoint now) {
  std::vector<std::string> failed;
  for (const auto& [name, deadline] : this->suspects) {
    if (now >= deadline) {
      failed.push_back(name);
    }
  }
  for (const std::string& name : failed) {
    MemberRecord record = this->table.find(name)->record;
    record.member.state = State::kFailed;
    this->accept(record, "", now);
  }
}

void MembershipEngine::probe_next(TimePoint now) {
  const auto& watched = this->overlay.watched();
  if (!watched.empty()) {
    const std::string& target = watched[this->turn++ % watched.size()];
    this->probe(target, false, now);
  }
  for (const auto& [name, deadline] : this->suspects) {
    if (std::find(watched.begin(), watched.end(), name) != watched.end()) {
      this->probe(name, false, now);
    }
  }
}

void MembershipEngine::try_contacts(TimePoint now) {
  std::vector<std::string> names = this->contacts.untried(this->table);
  std::shuffle(names.begin(), names.end(), this->random);
  const std::size_t most = this->live > 1 ? 1 : kFirstContacts;
  names.resize(std::min(names.size(), most));
  for (const std::string& name : names) {
    this->probe(name, true, now);
  }
}

void MembershipEngine::flush_gossip() {
  if (this->to_gossip.empty()) {
    return;
  }
  std::vector<FreshRecord> batch;
  while (!this->to_gossip.empty() &&
         batch.size() < this->settings.most_records) {
    batch.push_back(std::move(this->to_gossip.front()));
    this->to_gossip.pop_front();
  }
  for (const std::string& neighbour : this->overlay.neighbours()) {
    Commands::Gossip gossip{neighbour, {}};
    for (const FreshRecord& item : batch) {
      if (item.source != neighbour && item.record.member.name != neighbour) {
        gossip.records.push_back(item.record);
      }
    }
    if (!gossip.records.empty()) {
      this->commands.gossip.push_back(std::move(gossip));
    }
  }
}

void MembershipEngine::rebuild_overlay() {
  if (!std::exchange(this->overlay_stale, false)) {
    return;
  }
  std::vector<std::string> names;
  this->live = 0;
  for (const auto& [name, row] : this->table.rows()) {
    if (row.record.member.state != State::kFailed) {
      names.push_back(name);
    }
    this->live += row.record.member.serves() ? 1 : 0;
  }
  this->live = std::max<std::size_t>(this->live, 1);
  this->overlay.rebuild(this->table.self().member.name, names);
}

void MembershipEngine::on_contacts(std::vector<Contact> contacts,
                                   ContactSource source) {
  this->contacts.list(std::move(contacts));
  this->list_heard = this->list_heard || source == ContactSource::kHostList;
  if (!this->joined) {
    this->next_contact = this->last_tick;  // With the next tick.
  }
}

void MembershipEngine::settle_join(TimePoint now) {
  if (this->joined) {
    return;
  }
  // A daemon that takes itself for the only one owns every leaf. Were all of a
  // site's daemons started at once, each would open its share of each leaf's
  // connections, together more than the leaf takes. So it waits to meet one of
  // those that the host list names.
  const bool alone =
      this->list_heard && this->contacts.untried(this->table).empty();
  const bool waited = now - this->started >= this->settings.join_patience;
  if (this->live > 1 || alone || waited) {
    this->joined = true;
    ++this->changes;
  }
}

void MembershipEngine::on_gossip(const std::string& from,
                                 const std::vector<MemberRecord>& records,
                                 TimePoint now) {
  for (const MemberRecord& record : records) {
    this->accept(record, from, now);
  }
}

void MembershipEngine::on_probe_result(const std::string& target,
                                       const std::optional<ProbeAnswer>& answer,
                                       TimePoint now) {
  const auto found = this->flights.find(target);
  const Flight flight =
      found == this->flights.end() ? Flight{now, true, true} : found->second;
  if (!answer) {
    if (flight.contact) {
      this->flights.erase(target);
    } else {
      this->probe_failed(target, now);
    }
    return;
  }
  this->flights.erase(target);
  const bool settled = now - this->last_change > this->settings.quiet;
  this->on_answer(target, answer->records, now);
  if (answer->send_yours) {
    this->commands.gossip.push_back({target, {this->table.self()}});
  }
  // Tables differ for a moment after each change; one that lasts is a loss.
  if (answer->digest != this->table.digest()) {
    if (answer->next_bucket >= 0) {
      this->pull(target, static_cast<std::size_t>(answer->next_bucket), now);
    } else if (!flight.pull &&
               (flight.contact || settled || this->is_starting(now)) &&
               now >= this->next_repair) {
      this->next_repair =
          now + (this->is_starting(now)
                     ? Duration(this->slowed(this->settings.start_interval,
                                             kMembersPerStartInterval))
                     : Duration(kRepairInterval));
      this->pull(target, 0, now);
    }
  }
  if (flight.contact && !flight.pull) {
    // One that was thought failed answers: a partition may have healed, and
    // the others are tried without the usual pause.
    this->next_contact = now;
  }
}

void MembershipEngine::probe_failed(const std::string& target, TimePoint now) {
  const auto* row = this->table.find(target);
  if (row == nullptr || row->record.member.state == State::kFailed) {
    this->flights.erase(target);
    return;
  }
  const std::vector<std::string> helpers = this->choose_helpers(target);
  this->flights[target].helpers = helpers.size();
  for (const std::string& helper : helpers) {
    this->commands.indirect.push_back({helper, target});
  }
  if (helpers.empty()) {
    this->flights.erase(target);
    this->doubt(target, now);
  }
}

void MembershipEngine::on_indirect_result(const std::string& target,
                                          bool reached,
                                          TimePoint now) {
  const auto found = this->flights.find(target);
  if (found == this->flights.end()) {
    return;
  }
  if (reached) {
    this->flights.erase(found);
  } else if (--found->second.helpers == 0) {
    this->flights.erase(found);
    this->doubt(target, now);
  }
}

void MembershipEngine::on_lost(const Incarnation& who, TimePoint now) {
  const auto* row = this->table.find(who.member);
  if (row == nullptr || who.member == this->table.self().member.name) {
    return;
  }
  // A frame that a dial couldn't bring has no incarnation; it is a reason to
  // probe, but says nothing of the process.
  if (who.number == row->record.member.incarnation &&
      row->record.member.state == State::kAlive) {
    this->doubt(who.member, now);
    this->flush_gossip();
  }
  if (row->record.member.state != State::kFailed) {
    this->probe(who.member, false, now);
  }
}

void MembershipEngine::announce_leaving(TimePoint now) {
  MemberRecord self = this->table.self();
  if (self.member.state == State::kLeaving) {
    return;
  }
  self.member.state = State::kLeaving;
  ++self.epoch;
  this->restate_self(self, now);
  this->rebuild_overlay();
  this->flush_gossip();
}

Commands MembershipEngine::take_commands() {
  return std::exchange(this->commands, {});
}

MembershipView MembershipEngine::view() const {
  MembershipView view;
  view.revision = this->changes;
  view.self = this->table.self().member.name;
  view.joined = this->joined;
  view.members.reserve(this->table.rows().size());
  for (const auto& [name, row] : this->table.rows()) {
    view.members.push_back(row.record.member);
  }
  return view;
}

void MembershipEngine::accept(const MemberRecord& record,
                              const std::string& source,
                              TimePoint now) {
  if (record.member.name == this->table.self().member.name) {
    this->refute(record, now);
  } else if (this->table.apply(record, now)) {
    this->note_change(record, source, now);
  }
}

void MembershipEngine::refute(const MemberRecord& claim, TimePoint now) {
  MemberRecord self = this->table.self();
  if (!supersedes(claim, self)) {
    return;
  }
  // Two daemons that were given one name would outbid each other without end;
  // the pace is bounded, and the handshake's log line tells the operator.
  if (claim.member.incarnation != self.member.incarnation) {
    if (now < this->next_self_defence) {
      return;
    }
    this->next_self_defence = now + kSelfDefence;
  }
  self.epoch = claim.epoch + 1;
  this->restate_self(self, now);
}

void MembershipEngine::restate_self(const MemberRecord& fresh, TimePoint now) {
  if (this->table.apply(fresh, now)) {
    this->note_change(fresh, "", now);
  }
}

void MembershipEngine::note_change(const MemberRecord& record,
                                   const std::string& source,
                                   TimePoint now) {
  ++this->changes;
  this->last_change = now;
  this->overlay_stale = true;
  const std::string& name = record.member.name;
  if (record.member.state == State::kSuspect) {
    this->suspects[name] = now + this->settings.suspicion;
  } else {
    this->suspects.erase(name);
  }
  this->to_gossip.push_back({record, source});
}

void MembershipEngine::probe(const std::string& target,
                             bool contact,
                             TimePoint now) {
  if (this->flights.contains(target)) {
    return;
  }
  this->flights[target] = Flight{now, contact};
  this->commands.probes.push_back({target, this->probe_message(target)});
}

void MembershipEngine::doubt(const std::string& target, TimePoint now) {
  const auto* row = this->table.find(target);
  if (row == nullptr) {
    return;
  }
  MemberRecord record = row->record;
  if (record.member.state == State::kAlive) {
    record.member.state = State::kSuspect;
  } else if (record.member.state == State::kLeaving) {
    // It said that it would go, and now it doesn't answer.
    record.member.state = State::kFailed;
  } else {
    return;
  }
  this->accept(record, "", now);
}

std::vector<std::string> MembershipEngine::choose_helpers(
    const std::string& target) {
  std::vector<std::string> helpers;
  for (const std::string& name : this->overlay.neighbours()) {
    const auto* row = this->table.find(name);
    if (name != target && row != nullptr && row->record.member.serves()) {
      helpers.push_back(name);
    }
  }
  std::shuffle(helpers.begin(), helpers.end(), this->random);
  helpers.resize(std::min(helpers.size(), this->settings.helpers));
  return helpers;
}

}  // namespace ibismux::membership
