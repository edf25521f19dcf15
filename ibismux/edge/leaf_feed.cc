#include "ibismux/edge/leaf_feed.h"

#include <prometheus/family.h>
#include <prometheus/registry.h>

#include <utility>
#include <vector>

#include "ibismux/eventlog/event_log.h"

namespace ibismux::edge {

LeafFeed::LeafFeed(boost::asio::io_context& loop,
                   directory::LeafDirectory& directory,
                   const LeafEntryDecoder& decoder,
                   prometheus::Registry& registry,
                   eventlog::EventLog& log,
                   std::function<void()> on_recovery,
                   std::function<void()> on_listed)
    : directory(directory),
      decoder(decoder),
      log(log),
      on_recovery(std::move(on_recovery)),
      on_listed(std::move(on_listed)),
      expiry(loop.get_executor()) {
  auto& family = prometheus::BuildCounter()
                     .Name("ibismux_leaf_entries_refused_total")
                     .Help("Entries of the registry that name no leaf to use")
                     .Register(registry);
  for (std::size_t i = 0; i < this->refusals.size(); ++i) {
    const auto fault = static_cast<directory::EntryFault>(i);
    this->refusals[i] = &family.Add({{"fault", std::string(to_string(fault))}});
  }
}

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
  this->listed = true;
  this->on_listed();
}

void LeafFeed::adopt(const std::vector<directory::LeafEntry>& entries) {
  this->directory.adopt(entries, Clock::now());
  this->schedule_expiry();
}

void LeafFeed::on_change(const store::WatchBatch::Event& event) {
  if (event.removed) {
    this->refused_versions.erase(event.object.name);
    // The event contains the removed entry, but other stores may omit it.
    const auto last = this->decoder.decode(event.object);
    this->directory.remove(event.object.name, Clock::now(),
                           last ? &*last : nullptr);
    this->schedule_expiry();
    return;
  }
  if (auto entry = this->read(event.object)) {
    this->directory.put(*entry, Clock::now());
  }
}

void LeafFeed::on_lost() {
  this->directory.registry_lost();
}

void LeafFeed::on_regained() {
  this->directory.registry_regained(Clock::now());
  this->schedule_expiry();
  this->on_recovery();
}

void LeafFeed::on_available_since(TimePoint since) {
  this->directory.registry_available_since(since);
  this->schedule_expiry();
}

std::optional<directory::LeafEntry> LeafFeed::read(
    const store::StoredObject& object) {
  auto entry = this->decoder.decode(object);
  if (!entry) {
    this->refuse(object, entry.error());
    return std::nullopt;
  }
  this->refused_versions.erase(object.name);
  return *std::move(entry);
}

void LeafFeed::refuse(const store::StoredObject& object,
                      const directory::RefusedEntry& refused) {
  this->directory.discard(object.name, Clock::now());
  // Each full listing contains the same entry again.
  store::Version& logged = this->refused_versions[object.name];
  if (logged == object.version) {
    return;
  }
  logged = object.version;
  this->refusals[static_cast<std::size_t>(refused.fault)]->Increment();
  this->log.event(eventlog::Weight::kBelief, "leaf_entry_refused")
      .with("leaf", object.name)
      .with("object_version", store::version_text(object.version))
      .with("fault", to_string(refused.fault))
      .with("reason", refused.message);
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
      this->schedule_expiry();
    }
  });
}

}  // namespace ibismux::edge
