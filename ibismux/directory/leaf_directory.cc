#include "ibismux/directory/leaf_directory.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace ibismux::directory {

void LeafDirectory::replace(const std::vector<LeafEntry>& entries,
                            TimePoint now) {
  std::unordered_set<std::string> listed;
  this->listener.on_listing_begin();
  for (const LeafEntry& entry : entries) {
    listed.insert(entry.run.id);
    this->put(entry, now);
  }
  this->listener.on_listing_end();
  std::vector<std::string> absent;
  for (const auto& [id, entry] : this->entries) {
    if (!listed.contains(id)) {
      absent.push_back(id);
    }
  }
  for (const std::string& id : absent) {
    if (!this->is_adopted(id)) {
      this->remove(id, now, nullptr);
    }
  }
}

void LeafDirectory::adopt(const std::vector<LeafEntry>& entries,
                          TimePoint now) {
  const TimePoint removal_at =
      std::min(now, this->available_since.value_or(now)) + kReregistrationTime;
  if (removal_at <= now) {
    return;
  }
  this->listener.on_listing_begin();
  for (const LeafEntry& entry : entries) {
    if (this->was_removed(entry) ||
        !this->entries.try_emplace(entry.run.id, entry).second) {
      continue;
    }
    this->tombstones.erase(entry.run.id);
    this->missing.insert_or_assign(entry.run.id,
                                   Missing{removal_at, Cause::kAdopted});
    ++this->changes;
    this->listener.on_leaf_updated(entry);
  }
  this->listener.on_listing_end();
}

void LeafDirectory::put(const LeafEntry& entry, TimePoint now) {
  if (this->is_outdated(entry)) {
    this->listener.on_outdated_entry(entry);
    return;
  }
  if (this->lacks_known_start_time(entry)) {
    this->erase(entry.run.id, now, "no_start");
    return;
  }
  this->missing.erase(entry.run.id);
  this->tombstones.erase(entry.run.id);
  LeafEntry& known = this->entries[entry.run.id];
  if (known == entry) {
    return;
  }
  LeafEntry renewed = known;
  renewed.sequence = entry.sequence;
  renewed.warmup_left = entry.warmup_left;
  this->changes += renewed == entry ? 0 : 1;
  known = entry;
  this->listener.on_leaf_updated(entry);
}

void LeafDirectory::remove(const std::string& id,
                           TimePoint now,
                           const LeafEntry* last) {
  const auto known = this->entries.find(id);
  if (known == this->entries.end()) {
    return;
  }
  const bool removes_earlier_run =
      last && known->second.run.is_after(last->run);
  if (this->in_grace_period(now) && !this->is_adopted(id)) {
    this->missing.try_emplace(id,
                              Missing{this->grace_period_end, Cause::kOutage});
  } else if (removes_earlier_run) {
    this->missing.try_emplace(
        id, Missing{now + kReregistrationTime, Cause::kLaterRun});
  } else {
    this->erase(id, now, "removed");
  }
}

void LeafDirectory::discard(const std::string& id, TimePoint now) {
  this->erase(id, now, "unreadable");
}

void LeafDirectory::registry_lost() {
  this->available_since.reset();
  this->registry_is_down = true;
}

void LeafDirectory::registry_regained(TimePoint now) {
  if (this->registry_is_down) {
    this->registry_is_down = false;
    this->grace_period_end = now + kReregistrationTime;
    // Entries that expired during the outage get the same grace period as those
    // that expire now.
    for (auto& [id, row] : this->missing) {
      if (row.cause == Cause::kAdoptedBeforeOutage) {
        continue;
      }
      row.removal_at = this->grace_period_end;
      if (row.cause == Cause::kAdopted) {
        row.cause = Cause::kAdoptedBeforeOutage;
      }
    }
  }
}

void LeafDirectory::registry_available_since(TimePoint since) {
  if (this->registry_is_down) {
    return;
  }
  this->available_since = since;
  this->grace_period_end = since + kReregistrationTime;
  for (auto& [id, row] : this->missing) {
    if (row.cause == Cause::kOutage) {
      row.removal_at = this->grace_period_end;
    } else if (row.cause != Cause::kLaterRun) {
      row.removal_at = std::min(row.removal_at, this->grace_period_end);
    }
  }
}

void LeafDirectory::expire(TimePoint now) {
  if (this->registry_is_down) {
    return;
  }
  std::vector<std::string> expired;
  for (const auto& [id, row] : this->missing) {
    if (row.removal_at <= now) {
      expired.push_back(id);
    }
  }
  for (const std::string& id : expired) {
    const bool was_adopted = this->is_adopted(id);
    this->erase(id, now, "not_back");
    if (was_adopted) {
      // The registry has never reported it, so an entry that it reports from
      // now on is no delayed one.
      this->tombstones.erase(id);
    }
  }
}

TimePoint LeafDirectory::next_expiry() const noexcept {
  TimePoint first = TimePoint::max();
  if (!this->registry_is_down) {
    for (const auto& [id, row] : this->missing) {
      first = std::min(first, row.removal_at);
    }
  }
  return first;
}

bool LeafDirectory::in_grace_period(TimePoint now) const noexcept {
  return this->registry_is_down || now < this->grace_period_end;
}

bool LeafDirectory::is_outdated(const LeafEntry& entry) const {
  const auto known = this->entries.find(entry.run.id);
  if (known != this->entries.end()) {
    return entry.is_older_than(known->second);
  }
  const auto last = this->tombstones.find(entry.run.id);
  if (last == this->tombstones.end()) {
    return false;
  }
  // A leaf that has come back writes a higher sequence number. An equal number
  // means that a delayed write has arrived.
  const LeafEntry& before = last->second.entry;
  return entry.is_older_than(before) ||
         (entry.run == before.run && entry.run.started.count() > 0 &&
          entry.sequence == before.sequence);
}

bool LeafDirectory::was_removed(const LeafEntry& entry) const {
  const auto last = this->tombstones.find(entry.run.id);
  return last != this->tombstones.end() &&
         !last->second.entry.is_older_than(entry);
}

bool LeafDirectory::is_adopted(const std::string& id) const {
  const auto row = this->missing.find(id);
  return row != this->missing.end() &&
         (row->second.cause == Cause::kAdopted ||
          row->second.cause == Cause::kAdoptedBeforeOutage);
}

std::vector<LeafEntry> LeafDirectory::all() const {
  std::vector<LeafEntry> all;
  all.reserve(this->entries.size());
  for (const auto& [id, entry] : this->entries) {
    all.push_back(entry);
  }
  return all;
}

bool LeafDirectory::lacks_known_start_time(const LeafEntry& entry) const {
  const auto known = this->entries.find(entry.run.id);
  return known != this->entries.end() && entry.run.started.count() == 0 &&
         known->second.run.started.count() > 0;
}

void LeafDirectory::erase(const std::string& id,
                          TimePoint now,
                          std::string_view reason) {
  this->missing.erase(id);
  const auto known = this->entries.find(id);
  if (known == this->entries.end()) {
    return;
  }
  this->add_tombstone(std::move(known->second), now);
  this->entries.erase(known);
  ++this->changes;
  this->listener.on_leaf_removed(id, reason);
}

void LeafDirectory::add_tombstone(LeafEntry entry, TimePoint now) {
  const auto is_expired = [&](const std::string& id) {
    const auto row = this->tombstones.find(id);
    return row == this->tombstones.end() ||
           now - row->second.at > kTombstoneRetention;
  };
  while (!this->tombstone_order.empty() &&
         is_expired(this->tombstone_order.front())) {
    this->tombstones.erase(this->tombstone_order.front());
    this->tombstone_order.pop_front();
  }
  const std::string id = entry.run.id;
  this->tombstone_order.push_back(id);
  this->tombstones.insert_or_assign(id, Tombstone{std::move(entry), now});
}

}  // namespace ibismux::directory
