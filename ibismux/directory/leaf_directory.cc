#include "ibismux/directory/leaf_directory.h"

#include <unordered_set>

namespace ibismux::directory {

void LeafDirectory::replace(const std::vector<LeafEntry>& entries,
                            TimePoint now) {
  std::unordered_set<std::string> listed;
  for (const LeafEntry& entry : entries) {
    listed.insert(entry.instance);
    this->put(entry);
  }
  std::vector<std::string> absent;
  for (const auto& [instance, entry] : this->entries) {
    if (!listed.contains(instance)) {
      absent.push_back(instance);
    }
  }
  for (const std::string& instance : absent) {
    this->remove(instance, now);
  }
}

void LeafDirectory::put(const LeafEntry& entry) {
  this->missing.erase(entry.instance);
  LeafEntry& known = this->entries[entry.instance];
  if (known == entry) {
    return;
  }
  known = entry;
  this->listener.on_leaf(entry);
}

void LeafDirectory::remove(const std::string& instance, TimePoint now) {
  if (!this->entries.contains(instance)) {
    return;
  }
  if (this->in_doubt(now)) {
    this->missing.insert(instance);
  } else {
    this->erase(instance, "removed");
  }
}

void LeafDirectory::registry_lost() {
  this->lost = true;
}

void LeafDirectory::registry_regained(TimePoint now) {
  if (this->lost) {
    this->lost = false;
    this->settled_at = now + kReturnTime;
  }
}

void LeafDirectory::expire(TimePoint now) {
  if (this->in_doubt(now)) {
    return;
  }
  const std::set<std::string> gone = std::move(this->missing);
  this->missing.clear();
  for (const std::string& instance : gone) {
    this->erase(instance, "not_back");
  }
}

TimePoint LeafDirectory::next_expiry() const noexcept {
  return this->lost || this->missing.empty() ? TimePoint::max()
                                             : this->settled_at;
}

bool LeafDirectory::in_doubt(TimePoint now) const noexcept {
  return this->lost || now < this->settled_at;
}

void LeafDirectory::erase(const std::string& instance,
                          std::string_view reason) {
  this->missing.erase(instance);
  if (this->entries.erase(instance) > 0) {
    this->listener.on_leaf_gone(instance, reason);
  }
}

}  // namespace ibismux::directory
