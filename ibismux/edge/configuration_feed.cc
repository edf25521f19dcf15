#include "ibismux/edge/configuration_feed.h"

#include <utility>

#include "ibismux/eventlog/event_log.h"

namespace ibismux::edge {

ConfigurationFeed::ConfigurationFeed(std::string name,
                                     const ConfigurationDecoder& decoder,
                                     eventlog::EventLog& log,
                                     Take take,
                                     std::function<void()> on_back)
    : name(std::move(name)),
      decoder(decoder),
      log(log),
      take(std::move(take)),
      on_back(std::move(on_back)) {}

void ConfigurationFeed::on_listing(const store::Listing& listing) {
  for (const store::StoredObject& object : listing.objects) {
    this->read(object);
  }
}

void ConfigurationFeed::on_change(const store::WatchBatch::Event& event) {
  // A configuration that was deleted stays in force: requests are better
  // served by the last one than by none.
  if (!event.removed) {
    this->read(event.object);
  }
}

void ConfigurationFeed::read(const store::StoredObject& object) {
  if (object.name != this->name) {
    return;
  }
  auto table = this->decoder.decode(object);
  if (!table) {
    this->log.event(eventlog::Weight::kBelief, "config_refused")
        .with("object_version", store::version_text(object.version))
        .with("reason", table.error().message);
    return;
  }
  this->take(*std::move(table));
}

}  // namespace ibismux::edge
