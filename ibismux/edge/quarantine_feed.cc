#include "ibismux/edge/quarantine_feed.h"

#include <utility>

#include "ibismux/eventlog/event_log.h"

namespace ibismux::edge {

QuarantineFeed::QuarantineFeed(quarantine::QuarantineTable& table,
                               eventlog::EventLog& log,
                               std::function<void()> on_recovery)
    : table(table), log(log), on_recovery(std::move(on_recovery)) {}

void QuarantineFeed::on_listing(const store::Listing& listing) {
  // Only the first listing arrives here; later removals arrive as changes.
  for (const store::StoredObject& object : listing.objects) {
    this->apply(object);
  }
}

void QuarantineFeed::on_change(const store::WatchBatch::Event& event) {
  if (!event.removed) {
    this->apply(event.object);
    return;
  }
  const auto digest = quarantine::RequestDigest::parse(event.object.name);
  if (digest && event.lost) {
    this->table.apply_loss(*digest);
  } else if (digest) {
    this->table.apply_removal(*digest);
  }
}

void QuarantineFeed::apply(const store::StoredObject& object) {
  const auto digest = quarantine::RequestDigest::parse(object.name);
  const auto record = quarantine::decode_quarantine_record(object.value);
  if (!digest || !record) {
    this->log.event(eventlog::Weight::kBelief, "quarantine_unreadable")
        .with("digest", object.name)
        .with("reason", digest ? record.error().message : "not a digest");
    return;
  }
  this->table.apply_object(*digest, *record, object.version, unix_now());
}

}  // namespace ibismux::edge
