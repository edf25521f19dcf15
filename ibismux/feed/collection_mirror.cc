#include "ibismux/feed/collection_mirror.h"

#include <set>
#include <utility>

namespace ibismux::feed {

std::optional<News> CollectionMirror::take(News news) {
  // A listing at the version that is known says nothing new, but the first one
  // does even where the collection is empty.
  if (news.version < this->known || this->has_gap(news) ||
      (news.version == this->known && !news.whole)) {
    return std::nullopt;
  }
  const bool first = this->known == 0;
  if (news.whole && !first) {
    news = this->difference(news);
  }
  for (const store::WatchBatch::Event& event : news.events) {
    if (event.removed) {
      this->objects.erase(event.object.name);
    } else {
      this->objects.insert_or_assign(event.object.name, event.object);
    }
  }
  news.since = this->known;
  this->known = news.version;
  this->remember(news);
  return news;
}

News CollectionMirror::difference(const News& whole) const {
  News changes;
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
    if (!listed.contains(name)) {
      changes.events.push_back({object, true});
    }
  }
  return changes;
}

void CollectionMirror::remember(const News& news) {
  if (news.whole || news.version == news.since) {
    return;
  }
  this->recent.push_back(news);
  if (this->recent.size() > kMostRecent) {
    this->recent.pop_front();
  }
}

News CollectionMirror::since(store::Version version) const {
  if (this->recent.empty() || version < this->recent.front().since) {
    return this->whole();
  }
  News changes;
  changes.collection = this->collection;
  changes.since = version;
  changes.version = this->known;
  for (const News& news : this->recent) {
    if (news.version > version) {
      changes.events.insert(changes.events.end(), news.events.begin(),
                            news.events.end());
    }
  }
  return changes;
}

News CollectionMirror::whole() const {
  News news;
  news.collection = this->collection;
  news.version = this->known;
  news.whole = true;
  for (const auto& [name, object] : this->objects) {
    news.events.push_back({object, false});
  }
  return news;
}

}  // namespace ibismux::feed
