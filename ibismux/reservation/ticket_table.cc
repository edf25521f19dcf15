#include "ibismux/reservation/ticket_table.h"

namespace ibismux::reservation {

bool TicketTable::expired(const Ticket& ticket,
                          std::chrono::milliseconds now) const noexcept {
  // A time of issue in the future is made up: nobody was given that ticket.
  return ticket.issued > now || now - ticket.issued >= this->life;
}

TicketTable::Start TicketTable::start(const Ticket& ticket,
                                      std::uint64_t body_hash,
                                      std::chrono::milliseconds now,
                                      Entry& entry) {
  this->forget(now);
  if (this->expired(ticket, now)) {
    return Start::kExpired;
  }
  const auto found = this->entries.find(ticket.serial);
  if (found == this->entries.end()) {
    if (this->entries.size() >= this->most) {
      return Start::kFull;
    }
    this->remember(ticket, Entry{RecordState::kClaimed, body_hash, {}, {}});
    return Start::kStarted;
  }
  Entry& known = found->second;
  if (known.state != RecordState::kClosed && known.body_hash != body_hash) {
    return Start::kReused;
  }
  if (known.state == RecordState::kReleased) {
    known.state = RecordState::kClaimed;
    return Start::kStarted;
  }
  entry = known;
  return Start::kKnown;
}

void TicketTable::finish(const Ticket& ticket, Entry outcome) {
  const auto found = this->entries.find(ticket.serial);
  if (found == this->entries.end()) {
    return;
  }
  if (outcome.result.size() > this->most_result_bytes) {
    outcome.result.clear();
  }
  outcome.body_hash = found->second.body_hash;
  found->second = std::move(outcome);
}

TicketTable::Entry TicketTable::ask(const Ticket& ticket,
                                    std::chrono::milliseconds now) {
  this->forget(now);
  const auto found = this->entries.find(ticket.serial);
  const bool used = found != this->entries.end();
  if (used && found->second.state != RecordState::kReleased) {
    return found->second;
  }
  Entry closed{RecordState::kClosed, 0, {}, {}};
  if (used) {
    found->second = closed;
    return closed;
  }
  const bool room = this->entries.size() < this->most;
  if (this->expired(ticket, now) || !room) {
    return Entry{RecordState::kUnknown, 0, {}, {}};
  }
  this->remember(ticket, closed);
  return closed;
}

void TicketTable::remember(const Ticket& ticket, Entry entry) {
  this->entries.emplace(ticket.serial, std::move(entry));
  this->by_age.emplace_back(ticket.issued, ticket.serial);
}

void TicketTable::forget(std::chrono::milliseconds now) {
  // A ticket in use is kept: its run ends by its deadline, and until then the
  // ones behind it wait with it.
  while (!this->by_age.empty() &&
         now - this->by_age.front().first >= this->life) {
    const auto found = this->entries.find(this->by_age.front().second);
    if (found != this->entries.end() &&
        found->second.state == RecordState::kClaimed) {
      return;
    }
    this->entries.erase(this->by_age.front().second);
    this->by_age.pop_front();
  }
}

}  // namespace ibismux::reservation
