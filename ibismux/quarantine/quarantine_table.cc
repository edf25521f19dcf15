#include "ibismux/quarantine/quarantine_table.h"

#include <algorithm>
#include <tuple>

namespace ibismux::quarantine {

QuarantineState QuarantineTable::state(const RequestDigest& digest,
                                       UnixTime now) const noexcept {
  const auto found = this->rows.find(digest);
  return found == this->rows.end() || found->second.cleared
             ? QuarantineState::kClear
             : found->second.record.state(now);
}

UnixTime QuarantineTable::held_until(const RequestDigest& digest) const {
  return this->rows.at(digest).record.held_until;
}

QuarantineState QuarantineTable::on_crash(const RequestDigest& digest,
                                          const std::string& leaf_run,
                                          UnixTime now) {
  this->answered.remove(digest);
  Row& row = this->row(digest, now);
  if (row.cleared) {
    row.record = {};
    row.cleared = false;
  }
  row.record.add(leaf_run, now);
  row.lost = false;
  this->mark_dirty(row);
  return row.record.state(now);
}

bool QuarantineTable::on_answer(const RequestDigest& digest) {
  this->answered.add(digest);
  const auto found = this->rows.find(digest);
  if (found == this->rows.end() || found->second.cleared) {
    return false;
  }
  if (found->second.stored_version == 0) {
    // If a write is in progress, the store's watch will report its object.
    this->rows.erase(found);
    return true;
  }
  found->second.cleared = true;
  this->mark_dirty(found->second);
  return true;
}

void QuarantineTable::apply_object(const RequestDigest& digest,
                                   const QuarantineRecord& record,
                                   store::Version version,
                                   UnixTime now) {
  Row& row = this->row(digest, now);
  if (row.cleared && version > row.stored_version) {
    // The object was written after the version that was cleared here, so it
    // contains newer evidence from other daemons.
    row.record = {};
    row.cleared = false;
  }
  row.stored_version = version;
  row.lost = false;
  row.record.merge(record, now);
  row.dirty = row.cleared || row.record != record;
  if (row.dirty) {
    this->notify_dirty();
  }
}

void QuarantineTable::apply_removal(const RequestDigest& digest) {
  const auto found = this->rows.find(digest);
  if (found == this->rows.end()) {
    return;
  }
  if (found->second.dirty && !found->second.cleared) {
    // The removed object lacked the newer evidence of this daemon, which is
    // written as a new object.
    found->second.stored_version = 0;
    return;
  }
  this->rows.erase(found);
}

void QuarantineTable::apply_loss(const RequestDigest& digest) {
  const auto found = this->rows.find(digest);
  if (found == this->rows.end()) {
    return;
  }
  if (found->second.cleared) {
    this->rows.erase(found);
    return;
  }
  found->second.stored_version = 0;
  found->second.lost = true;
  this->mark_dirty(found->second);
}

QuarantineTable::Change QuarantineTable::change_of(
    const Rows::value_type& entry) {
  const auto& [digest, row] = entry;
  return {digest, row.cleared ? std::nullopt : std::optional(row.record),
          row.stored_version, row.lost};
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

void QuarantineTable::mark_written(const Change& change,
                                   store::Version version) {
  const auto found = this->rows.find(change.digest);
  if (found == this->rows.end()) {
    return;
  }
  Row& row = found->second;
  row.stored_version = version;
  row.lost = false;
  if (version == 0 && row.cleared) {
    this->rows.erase(found);
  } else if (!row.cleared && row.record == change.record) {
    row.dirty = false;
  }
}

std::optional<QuarantineTable::Change> QuarantineTable::eviction_candidate()
    const {
  const auto is_stored = [](const auto& entry) {
    return entry.second.stored_version > 0;
  };
  const auto stored =
      std::count_if(this->rows.begin(), this->rows.end(), is_stored);
  if (stored < static_cast<std::ptrdiff_t>(kMaxStored)) {
    return std::nullopt;
  }
  // Requests that were never quarantined go first, then the oldest version.
  const auto rank = [](const auto& entry) {
    return std::make_tuple(entry.second.stored_version == 0,
                           entry.second.record.times_held > 0,
                           entry.second.stored_version);
  };
  const auto first = std::min_element(
      this->rows.begin(), this->rows.end(),
      [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  return Change{first->first, std::nullopt, first->second.stored_version};
}

QuarantineTable::Row& QuarantineTable::row(const RequestDigest& digest,
                                           UnixTime now) {
  const auto found = this->rows.find(digest);
  if (found != this->rows.end()) {
    return found->second;
  }
  this->evict_if_full(now);
  Row& row = this->rows[digest];
  row.insertion_order = this->next_insertion_order++;
  return row;
}

void QuarantineTable::mark_dirty(Row& row) {
  row.dirty = true;
  this->notify_dirty();
}

void QuarantineTable::evict_if_full(UnixTime now) {
  if (this->rows.size() < kMaxRequests) {
    return;
  }
  const auto rank = [now](const auto& entry) {
    return std::make_tuple(
        entry.second.record.state(now) == QuarantineState::kQuarantined,
        entry.second.insertion_order);
  };
  this->rows.erase(std::min_element(
      this->rows.begin(), this->rows.end(),
      [&](const auto& a, const auto& b) { return rank(a) < rank(b); }));
}

}  // namespace ibismux::quarantine
