#ifndef IBISMUX_STORE_STORED_OBJECT_H_
#define IBISMUX_STORE_STORED_OBJECT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace ibismux::store {

/// Version of a stored object, and of the whole store: each write anywhere
/// takes the next number. 0 means "does not exist".
using Version = std::uint64_t;

/// One object as the platform keeps it. The value is opaque to the platform
/// and at most one megabyte.
struct StoredObject {
  std::string collection;
  std::string name;
  Version version = 0;
  std::string value;
};

/// A whole collection as of `version`.
struct Listing {
  Version version = 0;
  std::vector<StoredObject> objects;
};

/// What changed in a collection after some version. An object whose version is
/// set but that is `removed` was deleted by that write.
struct WatchBatch {
  struct Event {
    StoredObject object;
    bool removed = false;
  };
  Version version = 0;  ///< Where the next watch continues.
  std::vector<Event> events;
  /// The store no longer has the history that was asked for: list again.
  bool compacted = false;
};

}  // namespace ibismux::store

#endif  // IBISMUX_STORE_STORED_OBJECT_H_
