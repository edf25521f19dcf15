#include "ibismux/edge/configuration_feed.h"

#include <utility>

#include "ibismux/eventlog/event_log.h"

namespace ibismux::edge {

ConfigurationFeed::ConfigurationFeed(std::string name,
                                     const ConfigurationDecoder& decoder,
                                     eventlog::EventLog& log,
                                     UpdateHandler on_update,
                                     std::function<void()> on_recovery)
    : name(std::move(name)),
      decoder(decoder),
      log(log),
      on_update(std::move(on_update)),
      on_recovery(std::move(on_recovery)) {}

void ConfigurationFeed::on_listing(const store::Listing& listing) {
  for (const store::StoredObject& object : listing.objects) {
    this->read(object);
  }
}

void ConfigurationFeed::on_change(const store::WatchBatch::Event& event) {
  // A deleted configuration stays in force, because serving requests with the
  // last configuration is better than serving none.
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
  this->on_update(*std::move(table));
}

}  // namespace ibismux::edge
