#include "ibismux/feed/collection_mirror.h"

#include <set>
#include <utility>

namespace ibismux::feed {

std::optional<Update> CollectionMirror::apply(Update update, TimePoint now) {
  // A listing is accepted at the known version too: the first listing of an
  // empty collection counts as well.
  if (update.version < this->known || this->has_gap(update) ||
      (update.version == this->known && !update.whole)) {
    return std::nullopt;
  }
  const bool first = this->known == 0;
  if (update.whole && !first) {
    update = this->difference(update);
  }
  bool unsettled =
      !first && store::era_of(update.version) > store::era_of(this->known);
  update.since = this->known;
  this->known = update.version;
  for (const store::WatchBatch::Event& event : update.events) {
    if (event.removed) {
      this->objects.erase(event.object.name);
    } else {
      unsettled = unsettled || this->is_of_earlier_era(event.object);
      this->objects.insert_or_assign(event.object.name, event.object);
    }
  }
  if (unsettled) {
    this->settle_at = now + kRestoreGracePeriod;
  }
  this->remember(update);
  return update;
}

Update CollectionMirror::difference(const Update& whole) const {
  Update changes;
  changes.collection = this->collection;
  changes.version = whole.version;
  std::set<std::string, std::less<>> listed;
  for (const store::WatchBatch::Event& event : whole.events) {
    listed.insert(event.object.name);
    const auto held = this->objects.find(event.object.name);
    if (held == this->objects.end() ||
        held->second.version != event.object.version) {
      changes.events.push_back(event);
    }
  }
  for (const auto& [name, object] : this->objects) {
    const bool may_return =
        store::era_of(object.version) < store::era_of(whole.version);
    if (!listed.contains(name) && !may_return) {
      changes.events.push_back({object, true});
    }
  }
  return changes;
}

std::vector<store::WatchBatch::Event> CollectionMirror::settle() {
  this->settle_at.reset();
  std::vector<store::WatchBatch::Event> events;
  for (const auto& [name, object] : this->objects) {
    if (this->is_of_earlier_era(object)) {
      events.push_back({object, true, true});
    }
  }
  for (const store::WatchBatch::Event& event : events) {
    this->objects.erase(event.object.name);
  }
  return events;
}

void CollectionMirror::remember(const Update& update) {
  if (update.whole || update.version == update.since) {
    return;
  }
  this->recent.push_back(update);
  if (this->recent.size() > kMaxRecentUpdates) {
    this->recent.pop_front();
  }
}

Update CollectionMirror::since(store::Version version) const {
  if (this->recent.empty() || version < this->recent.front().since) {
    return this->whole();
  }
  Update changes;
  changes.collection = this->collection;
  changes.since = version;
  changes.version = this->known;
  for (const Update& update : this->recent) {
    if (update.version > version) {
      changes.events.insert(changes.events.end(), update.events.begin(),
                            update.events.end());
    }
  }
  return changes;
}

Update CollectionMirror::whole() const {
  Update update;
  update.collection = this->collection;
  update.version = this->known;
  update.whole = true;
  for (const auto& [name, object] : this->objects) {
    update.events.push_back({object, false});
  }
  return update;
}

}  // namespace ibismux::feed
