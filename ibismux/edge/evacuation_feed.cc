#include "ibismux/edge/evacuation_feed.h"

#include <utility>

namespace ibismux::edge {

EvacuationFeed::EvacuationFeed(UpdateHandler on_update,
                               std::function<void()> on_recovery)
    : on_update(std::move(on_update)), on_recovery(std::move(on_recovery)) {}

void EvacuationFeed::on_listing(const store::Listing& listing) {
  ZoneNames updated;
  for (const store::StoredObject& object : listing.objects) {
    updated.insert(object.name);
  }
  this->update_zones(std::move(updated));
}

void EvacuationFeed::on_change(const store::WatchBatch::Event& event) {
  ZoneNames updated = this->zones;
  if (event.removed) {
    updated.erase(event.object.name);
  } else {
    updated.insert(event.object.name);
  }
  this->update_zones(std::move(updated));
}

void EvacuationFeed::update_zones(ZoneNames updated) {
  if (updated == this->zones) {
    return;
  }
  this->zones = std::move(updated);
  this->on_update(this->zones);
}

}  // namespace ibismux::edge
