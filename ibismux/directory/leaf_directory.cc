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
    this->remove(id, now, nullptr);
  }
}

void LeafDirectory::put(const LeafEntry& entry, TimePoint now) {
  if (this->is_outdated(entry)) {
    this->listener.on_outdated_entry(entry);
    return;
  }
  if (this->has_lost_its_start(entry)) {
    this->erase(entry.run.id, now, "no_start");
    return;
  }
  this->missing.erase(entry.run.id);
  this->gone.erase(entry.run.id);
  LeafEntry& known = this->entries[entry.run.id];
  if (known == entry) {
    return;
  }
  known = entry;
  this->listener.on_leaf(entry);
}

void LeafDirectory::remove(const std::string& id,
                           TimePoint now,
                           const LeafEntry* last) {
  const auto known = this->entries.find(id);
  if (known == this->entries.end()) {
    return;
  }
  const bool is_of_earlier_run = last && known->second.run.is_after(last->run);
  if (this->is_uncertain(now)) {
    this->missing.try_emplace(id, Missing{this->settled_at, false});
  } else if (is_of_earlier_run) {
    this->missing.try_emplace(id, Missing{now + kReturnTime, true});
  } else {
    this->erase(id, now, "removed");
  }
}

void LeafDirectory::discard(const std::string& id, TimePoint now) {
  this->erase(id, now, "unreadable");
}

void LeafDirectory::registry_lost() {
  this->lost = true;
}

void LeafDirectory::registry_regained(TimePoint now) {
  if (this->lost) {
    this->lost = false;
    this->settled_at = now + kReturnTime;
    // Those that lapsed meanwhile have as long as those that lapse now.
    for (auto& [id, row] : this->missing) {
      row.until = this->settled_at;
    }
  }
}

void LeafDirectory::registry_unbroken_since(TimePoint since) {
  if (this->lost) {
    return;
  }
  this->settled_at = since + kReturnTime;
  for (auto& [id, row] : this->missing) {
    if (!row.was_of_earlier_run) {
      row.until = this->settled_at;
    }
  }
}

void LeafDirectory::expire(TimePoint now) {
  if (this->lost) {
    return;
  }
  std::vector<std::string> late;
  for (const auto& [id, row] : this->missing) {
    if (row.until <= now) {
      late.push_back(id);
    }
  }
  for (const std::string& id : late) {
    this->erase(id, now, "not_back");
  }
}

TimePoint LeafDirectory::next_expiry() const noexcept {
  TimePoint first = TimePoint::max();
  if (!this->lost) {
    for (const auto& [id, row] : this->missing) {
      first = std::min(first, row.until);
    }
  }
  return first;
}

bool LeafDirectory::is_uncertain(TimePoint now) const noexcept {
  return this->lost || now < this->settled_at;
}

bool LeafDirectory::is_outdated(const LeafEntry& entry) const {
  const auto known = this->entries.find(entry.run.id);
  if (known != this->entries.end()) {
    return entry.is_older_than(known->second);
  }
  const auto last = this->gone.find(entry.run.id);
  if (last == this->gone.end()) {
    return false;
  }
  // A leaf that is back writes a higher number; the same one is a late write.
  const LeafEntry& before = last->second.entry;
  return entry.is_older_than(before) ||
         (entry.run == before.run && entry.run.started.count() > 0 &&
          entry.sequence == before.sequence);
}

bool LeafDirectory::has_lost_its_start(const LeafEntry& entry) const {
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
  this->remember_gone(std::move(known->second), now);
  this->entries.erase(known);
  this->listener.on_leaf_gone(id, reason);
}

void LeafDirectory::remember_gone(LeafEntry entry, TimePoint now) {
  const auto is_past = [&](const std::string& id) {
    const auto row = this->gone.find(id);
    return row == this->gone.end() || now - row->second.at > kRememberGone;
  };
  while (!this->gone_in_order.empty() && is_past(this->gone_in_order.front())) {
    this->gone.erase(this->gone_in_order.front());
    this->gone_in_order.pop_front();
  }
  const std::string id = entry.run.id;
  this->gone_in_order.push_back(id);
  this->gone.insert_or_assign(id, Gone{std::move(entry), now});
}

}  // namespace ibismux::directory
