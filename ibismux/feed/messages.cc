#include "ibismux/feed/messages.h"

#include <utility>

#include "ibismux/feed/gen/feed_types.h"
#include "ibismux/peer/thrift_codec.h"

namespace ibismux::feed {

namespace {

std::vector<wire::Known> to_wire(const KnownVersions& known) {
  std::vector<wire::Known> out;
  for (const auto& [collection, version] : known) {
    wire::Known row;
    row.__set_collection(collection);
    row.__set_version(static_cast<std::int64_t>(version));
    out.push_back(std::move(row));
  }
  return out;
}

KnownVersions from_wire(const std::vector<wire::Known>& rows) {
  KnownVersions known;
  for (const wire::Known& row : rows) {
    known[row.collection] = static_cast<store::Version>(row.version);
  }
  return known;
}

wire::Update to_wire(const Update& update) {
  wire::Update out;
  out.__set_collection(update.collection);
  out.__set_since(static_cast<std::int64_t>(update.since));
  out.__set_version(static_cast<std::int64_t>(update.version));
  out.__set_whole(update.whole);
  std::vector<wire::Item> items;
  for (const store::WatchBatch::Event& event : update.events) {
    wire::Item item;
    item.__set_name(event.object.name);
    item.__set_version(static_cast<std::int64_t>(event.object.version));
    item.__set_value(event.object.value);
    item.__set_removed(event.removed);
    items.push_back(std::move(item));
  }
  out.__set_items(items);
  return out;
}

Update from_wire(const wire::Update& row) {
  Update update;
  update.collection = row.collection;
  update.since = static_cast<store::Version>(row.since);
  update.version = static_cast<store::Version>(row.version);
  update.whole = row.whole;
  for (const wire::Item& item : row.items) {
    update.events.push_back(
        {{row.collection, item.name, static_cast<store::Version>(item.version),
          item.value},
         item.removed});
  }
  return update;
}

}  // namespace

std::string encode(const PushMessage& message) {
  wire::Push out;
  out.__set_age_ms(to_millis(message.age));
  out.__set_unbroken_ms(to_millis(message.available_for));
  out.__set_known(to_wire(message.known));
  std::vector<wire::Update> all;
  for (const Update& update : message.updates) {
    all.push_back(to_wire(update));
  }
  out.__set_updates(all);
  return peer::encode(out);
}

std::string encode(const PullMessage& message) {
  wire::Pull out;
  out.__set_have(to_wire(message.have));
  return peer::encode(out);
}

Result<PushMessage> decode_push(const std::string& payload) {
  const auto row = peer::decode<wire::Push>(payload);
  if (!row) {
    return tl::unexpected(row.error());
  }
  if (row->age_ms < 0 || row->unbroken_ms < 0) {
    return fail(ErrorKind::kProtocolError, "a negative age");
  }
  PushMessage message;
  message.age = std::chrono::milliseconds(row->age_ms);
  message.available_for = std::chrono::milliseconds(row->unbroken_ms);
  message.known = from_wire(row->known);
  for (const wire::Update& update : row->updates) {
    message.updates.push_back(from_wire(update));
  }
  return message;
}

Result<PullMessage> decode_pull(const std::string& payload) {
  const auto row = peer::decode<wire::Pull>(payload);
  if (!row) {
    return tl::unexpected(row.error());
  }
  return PullMessage{from_wire(row->have)};
}

}  // namespace ibismux::feed
