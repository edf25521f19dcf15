#include "ibismux/release/object_mirror.h"

#include <algorithm>
#include <utility>

namespace ibismux::release {
namespace {

// Leaves room in a chunk for the objects beside it.
constexpr std::size_t kMostObjectBytes = 256 * 1024;

Result<ObjectRecord> read(const ObjectKey& key,
                          const store::StoredObject& object) {
  if (object.value.size() > kMostObjectBytes) {
    return fail(ErrorKind::kTooLarge, std::string(to_string(key.kind)) + "/" +
                                          key.name +
                                          ": must be at most 262144 bytes");
  }
  Result<ObjectRecord> record = parse_object(object.value);
  if (record && record->key != key) {
    return fail(ErrorKind::kInvalidRequest,
                std::string(to_string(key.kind)) + "/" + key.name +
                    ": kind and name must be those under which it is stored");
  }
  return record;
}

}  // namespace

void ObjectMirror::observe(const store::StoredObject& object) {
  std::optional<ObjectKey> key = object_key_of(object.name);
  // A name that spells no key can have no status either.
  if (key) {
    Result<ObjectRecord> record = read(*key, object);
    this->current.objects.insert_or_assign(
        *std::move(key), ObservedObject{object.version, std::move(record)});
  }
}

void ObjectMirror::reset(const store::Listing& listing) {
  if (listing.version < this->current.version) {
    return;
  }
  this->current = {listing.version, {}};
  for (const store::StoredObject& object : listing.objects) {
    this->observe(object);
  }
}

void ObjectMirror::apply(const store::WatchBatch& batch) {
  const store::Version known = this->current.version;
  for (const store::WatchBatch::Event& event : batch.events) {
    // A late event would bring back what a newer write has replaced or removed;
    // one would see an old version accepted again.
    if (event.object.version <= known) {
      continue;
    }
    if (!event.removed) {
      this->observe(event.object);
    } else if (const auto key = object_key_of(event.object.name)) {
      this->current.objects.erase(*key);
    }
  }
  this->current.version = std::max(known, batch.version);
}

}  // namespace ibismux::release
