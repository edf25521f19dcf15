#include "ibismux/quarantine/quarantine_table.h"

#include <algorithm>
#include <tuple>

namespace ibismux::quarantine {

Standing QuarantineTable::standing(const RequestDigest& digest,
                                   UnixTime now) const noexcept {
  const auto found = this->rows.find(digest);
  return found == this->rows.end() || found->second.cleared
             ? Standing::kClear
             : found->second.record.standing(now);
}

UnixTime QuarantineTable::held_until(const RequestDigest& digest) const {
  return this->rows.at(digest).record.held_until;
}

Standing QuarantineTable::on_crash(const RequestDigest& digest,
                                   const std::string& leaf_run,
                                   UnixTime now) {
  Row& row = this->row(digest, now);
  if (row.cleared) {
    row.record = {};
    row.cleared = false;
  }
  row.record.add(leaf_run, now);
  row.lost = false;
  this->mark_dirty(row);
  return row.record.standing(now);
}

bool QuarantineTable::on_answer(const RequestDigest& digest) {
  const auto found = this->rows.find(digest);
  if (found == this->rows.end() || found->second.cleared) {
    return false;
  }
  if (found->second.stored == 0) {
    // Where a write is under way, the feed tells of its object.
    this->rows.erase(found);
    return true;
  }
  found->second.cleared = true;
  this->mark_dirty(found->second);
  return true;
}

void QuarantineTable::take(const RequestDigest& digest,
                           const QuarantineRecord& record,
                           store::Version version,
                           UnixTime now) {
  Row& row = this->row(digest, now);
  if (row.cleared && version > row.stored) {
    // Written after the answer that cleared it: others have seen more since.
    row.record = {};
    row.cleared = false;
  }
  row.stored = version;
  row.lost = false;
  row.record.merge(record, now);
  row.dirty = row.cleared || row.record != record;
  if (row.dirty) {
    this->notify();
  }
}

void QuarantineTable::take_removal(const RequestDigest& digest) {
  const auto found = this->rows.find(digest);
  if (found == this->rows.end()) {
    return;
  }
  if (found->second.dirty && !found->second.cleared) {
    // What was learned here since was not in the object.
    found->second.stored = 0;
    return;
  }
  this->rows.erase(found);
}

void QuarantineTable::take_loss(const RequestDigest& digest) {
  const auto found = this->rows.find(digest);
  if (found == this->rows.end()) {
    return;
  }
  if (found->second.cleared) {
    this->rows.erase(found);
    return;
  }
  found->second.stored = 0;
  found->second.lost = true;
  this->mark_dirty(found->second);
}

QuarantineTable::Change QuarantineTable::change_of(
    const Rows::value_type& entry) {
  const auto& [digest, row] = entry;
  return {digest, row.cleared ? std::nullopt : std::optional(row.record),
          row.stored, row.lost};
}

std::vector<QuarantineTable::Change> QuarantineTable::changes() const {
  std::vector<Change> changes;
  for (const auto& entry : this->rows) {
    if (entry.second.dirty) {
      changes.push_back(change_of(entry));
    }
  }
  return changes;
}

std::optional<QuarantineTable::Change> QuarantineTable::change(
    const RequestDigest& digest) const {
  const auto found = this->rows.find(digest);
  return found != this->rows.end() && found->second.dirty
             ? std::optional(change_of(*found))
             : std::nullopt;
}

void QuarantineTable::written(const Change& change, store::Version version) {
  const auto found = this->rows.find(change.digest);
  if (found == this->rows.end()) {
    return;
  }
  Row& row = found->second;
  row.stored = version;
  row.lost = false;
  if (version == 0 && row.cleared) {
    this->rows.erase(found);
  } else if (!row.cleared && row.record == change.record) {
    row.dirty = false;
  }
}

std::optional<QuarantineTable::Change> QuarantineTable::surplus() const {
  const auto is_stored = [](const auto& entry) {
    return entry.second.stored > 0;
  };
  const auto stored =
      std::count_if(this->rows.begin(), this->rows.end(), is_stored);
  if (stored < static_cast<std::ptrdiff_t>(kMostStored)) {
    return std::nullopt;
  }
  // Suspects before those that are held, the first written before later ones.
  const auto rank = [](const auto& entry) {
    return std::make_tuple(entry.second.stored == 0,
                           entry.second.record.times_held > 0,
                           entry.second.stored);
  };
  const auto first = std::min_element(
      this->rows.begin(), this->rows.end(),
      [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  return Change{first->first, std::nullopt, first->second.stored};
}

QuarantineTable::Row& QuarantineTable::row(const RequestDigest& digest,
                                           UnixTime now) {
  const auto found = this->rows.find(digest);
  if (found != this->rows.end()) {
    return found->second;
  }
  this->make_room(now);
  Row& row = this->rows[digest];
  row.order = this->next_order++;
  return row;
}

void QuarantineTable::mark_dirty(Row& row) {
  row.dirty = true;
  this->notify();
}

void QuarantineTable::make_room(UnixTime now) {
  if (this->rows.size() < kMostRequests) {
    return;
  }
  const auto rank = [now](const auto& entry) {
    return std::make_tuple(
        entry.second.record.standing(now) == Standing::kQuarantined,
        entry.second.order);
  };
  this->rows.erase(std::min_element(
      this->rows.begin(), this->rows.end(),
      [&](const auto& a, const auto& b) { return rank(a) < rank(b); }));
}

}  // namespace ibismux::quarantine
