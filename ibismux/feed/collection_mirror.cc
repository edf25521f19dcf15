#include "ibismux/feed/collection_mirror.h"

#include <utility>

namespace ibismux::feed {

std::optional<News> CollectionMirror::take(News news) {
  // A listing at the version that is known says nothing new, but the first one
  // does even where the collection is empty.
  if (news.version < this->known || this->has_gap(news) ||
      (news.version == this->known && !news.whole)) {
    return std::nullopt;
  }
  if (news.whole) {
    this->objects.clear();
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
  return news;
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
