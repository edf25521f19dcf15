#include "ibismux/edge/evacuation_feed.h"

#include <utility>

namespace ibismux::edge {

EvacuationFeed::EvacuationFeed(Take take, std::function<void()> on_back)
    : take(std::move(take)), on_back(std::move(on_back)) {}

void EvacuationFeed::on_listing(const store::Listing& listing) {
  ZoneNames fresh;
  for (const store::StoredObject& object : listing.objects) {
    fresh.insert(object.name);
  }
  this->put_in_force(std::move(fresh));
}

void EvacuationFeed::on_change(const store::WatchBatch::Event& event) {
  ZoneNames fresh = this->zones;
  if (event.removed) {
    fresh.erase(event.object.name);
  } else {
    fresh.insert(event.object.name);
  }
  this->put_in_force(std::move(fresh));
}

void EvacuationFeed::put_in_force(ZoneNames fresh) {
  if (fresh == this->zones) {
    return;
  }
  this->zones = std::move(fresh);
  this->take(this->zones);
}

}  // namespace ibismux::edge
