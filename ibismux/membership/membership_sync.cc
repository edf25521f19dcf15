// How the engine's tables are compared and brought together by probes.

#include <utility>

#include "ibismux/membership/membership_engine.h"

namespace ibismux::membership {

namespace {

using State = Member::State;

}  // namespace

ProbeMessage MembershipEngine::probe_message(const std::string& target) const {
  ProbeMessage message;
  message.digest = this->table.digest();
  message.sender_epoch = this->table.self().epoch;
  const auto* row = this->table.find(target);
  if (row != nullptr) {
    const State state = row->record.member.state;
    message.target_epoch = row->record.epoch;
    message.suspected = state == State::kSuspect || state == State::kFailed;
  }
  return message;
}

ProbeAnswer MembershipEngine::on_probe(const Incarnation& from,
                                       const ProbeMessage& message,
                                       TimePoint now) {
  this->on_gossip(from.member, message.records, now);
  MemberRecord self = this->table.self();
  if (message.suspected && message.target_epoch >= self.epoch) {
    self.epoch = message.target_epoch + 1;
    this->restate_self(self, now);
  }
  ProbeAnswer answer;
  if (message.target_epoch != self.epoch) {
    answer.records.push_back(self);
  }
  const auto* sender = this->table.find(from.member);
  const bool known = sender != nullptr &&
                     sender->record.member.incarnation == from.number &&
                     sender->record.epoch == message.sender_epoch &&
                     sender->record.member.state != State::kSuspect &&
                     sender->record.member.state != State::kFailed;
  if (!known) {
    answer.send_yours = true;
    if (sender != nullptr) {
      answer.records.push_back(sender->record);
    }
  }
  this->add_differing(message, answer);
  answer.digest = this->table.digest();
  return answer;
}

/// Adds the records of the buckets that differ, as many as one answer holds.
void MembershipEngine::add_differing(const ProbeMessage& message,
                                     ProbeAnswer& answer) const {
  const auto& ours = this->table.digests();
  for (std::size_t i = message.first_bucket;
       message.buckets.size() == ours.size() && i < ours.size(); ++i) {
    if (answer.records.size() >= this->settings.most_records) {
      answer.next_bucket = static_cast<int>(i);
      break;
    }
    if (ours[i] != message.buckets[i]) {
      auto records = this->table.bucket(i);
      answer.records.insert(answer.records.end(), records.begin(),
                            records.end());
    }
  }
}

/// Takes what another table holds. What it says of failures may be as old as a
/// partition: each half then takes the other for failed, and copying that would
/// make healthy members fail once more when the halves meet. So it counts as a
/// suspicion, which a live member refutes and a dead one doesn't.
void MembershipEngine::on_answer(const std::string& target,
                                 const std::vector<MemberRecord>& records,
                                 TimePoint now) {
  for (MemberRecord record : records) {
    const std::string& name = record.member.name;
    if (record.member.state == State::kFailed &&
        name != this->table.self().member.name) {
      if (this->table.find(name) == nullptr) {
        continue;
      }
      record.member.state = State::kSuspect;
    }
    this->accept(record, target, now);
  }
}

void MembershipEngine::pull(const std::string& target,
                            std::size_t first,
                            TimePoint now) {
  this->flights[target] = Flight{now, true, true};
  ProbeMessage message = this->probe_message(target);
  message.buckets.assign(this->table.digests().begin(),
                         this->table.digests().end());
  message.first_bucket = first;
  this->commands.probes.push_back({target, std::move(message)});
}

}  // namespace ibismux::membership
