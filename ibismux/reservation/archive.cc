#include "ibismux/reservation/archive.h"

#include <algorithm>
#include <iterator>
#include <unordered_set>
#include <utility>

namespace ibismux::reservation {

std::vector<SegmentRef> Archive::missing(
    const std::vector<SegmentRef>& wanted) const {
  std::vector<SegmentRef> absent;
  std::ranges::copy_if(wanted, std::back_inserter(absent),
                       [this](const SegmentRef& ref) {
                         return !this->segments.contains(ref.name);
                       });
  return absent;
}

void Archive::add(const SegmentRef& ref,
                  store::Version version,
                  std::vector<KeyRecord> fresh) {
  Loaded loaded{ref, version, {}};
  loaded.keys.reserve(fresh.size());
  for (KeyRecord& record : fresh) {
    loaded.keys.push_back(record.key);
    Entry& entry = this->records[record.key];
    if (entry.sequence <= ref.sequence) {
      entry = {ref.sequence, std::move(record)};
    }
  }
  this->segments[ref.name] = std::move(loaded);
}

void Archive::keep_only(const std::vector<SegmentRef>& wanted) {
  std::unordered_set<std::string> names;
  for (const SegmentRef& ref : wanted) {
    names.insert(ref.name);
  }
  for (auto it = this->segments.begin(); it != this->segments.end();) {
    if (names.contains(it->first)) {
      ++it;
      continue;
    }
    const Loaded& dropped = it->second;
    for (const KeyHash& key : dropped.keys) {
      const auto found = this->records.find(key);
      if (found != this->records.end() &&
          found->second.sequence == dropped.ref.sequence) {
        this->records.erase(found);
      }
    }
    it = this->segments.erase(it);
  }
}

const KeyRecord* Archive::find(const KeyHash& key) const {
  const auto found = this->records.find(key);
  return found == this->records.end() ? nullptr : &found->second.record;
}

store::Version Archive::version_of(const std::string& name) const {
  const auto found = this->segments.find(name);
  return found == this->segments.end() ? 0 : found->second.version;
}

}  // namespace ibismux::reservation
