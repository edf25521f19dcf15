#include "ibismux/edge/leaf_feed.h"

#include <utility>
#include <vector>

#include "ibismux/eventlog/event_log.h"

namespace ibismux::edge {

LeafFeed::LeafFeed(boost::asio::io_context& loop,
                   directory::LeafDirectory& directory,
                   const LeafEntryDecoder& decoder,
                   eventlog::EventLog& log,
                   std::function<void()> on_back)
    : directory(directory),
      decoder(decoder),
      log(log),
      on_back(std::move(on_back)),
      expiry(loop.get_executor()) {}

void LeafFeed::on_listing(const store::Listing& listing) {
  std::vector<directory::LeafEntry> entries;
  entries.reserve(listing.objects.size());
  for (const store::StoredObject& object : listing.objects) {
    if (auto entry = this->read(object)) {
      entries.push_back(*std::move(entry));
    }
  }
  this->directory.replace(entries, Clock::now());
  this->schedule_expiry();
}

void LeafFeed::on_change(const store::WatchBatch::Event& event) {
  if (event.removed) {
    this->directory.remove(event.object.name, Clock::now());
    this->schedule_expiry();
    return;
  }
  if (auto entry = this->read(event.object)) {
    this->directory.put(*entry);
  }
}

void LeafFeed::on_lost() {
  this->directory.registry_lost();
}

void LeafFeed::on_regained() {
  this->directory.registry_regained(Clock::now());
  this->schedule_expiry();
  this->on_back();
}

std::optional<directory::LeafEntry> LeafFeed::read(
    const store::StoredObject& object) {
  auto entry = this->decoder.decode(object);
  if (!entry) {
    this->log.event(eventlog::Weight::kBelief, "leaf_entry_refused")
        .with("leaf", object.name)
        .with("object_version", object.version)
        .with("reason", entry.error().message);
    return std::nullopt;
  }
  return *std::move(entry);
}

void LeafFeed::schedule_expiry() {
  const TimePoint when = this->directory.next_expiry();
  if (when == TimePoint::max()) {
    return;
  }
  this->expiry.expires_at(when);
  this->expiry.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      this->directory.expire(Clock::now());
    }
  });
}

}  // namespace ibismux::edge
