#ifndef IBISMUX_RELEASE_OBJECT_MIRROR_H_
#define IBISMUX_RELEASE_OBJECT_MIRROR_H_

#include <map>

#include "ibismux/base/error.h"
#include "ibismux/release/object_codec.h"
#include "ibismux/store/stored_object.h"

namespace ibismux::release {

/// An object as it stands in the platform's store, right or wrong.
struct ObservedObject {
  store::Version version = 0;
  Result<ObjectRecord> record;  ///< Or why the value is no valid object.
};

/// What operators want: all objects of the platform's store as of one version.
struct ObjectView {
  store::Version version = 0;
  std::map<ObjectKey, ObservedObject> objects;
};

/// Keeps an `ObjectView` up to date from listings and watch events.
///
/// An event that comes late or twice changes nothing: each write has a version
/// of its own, and one at or below that of the view is in it already.
/// Not thread safe.
class ObjectMirror {
 public:
  /// Replaces the view, unless `listing` is older than it.
  void reset(const store::Listing& listing);

  /// Precondition: the batch answers a watch since `view().version` and is not
  /// compacted.
  void apply(const store::WatchBatch& batch);

  /// Forgets everything; the next `reset` counts whatever its version.
  void clear() { this->current = {}; }

  [[nodiscard]] const ObjectView& view() const noexcept {
    return this->current;
  }

 private:
  void observe(const store::StoredObject& object);

  ObjectView current;
};

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_OBJECT_MIRROR_H_
