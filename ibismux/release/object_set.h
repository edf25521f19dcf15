#ifndef IBISMUX_RELEASE_OBJECT_SET_H_
#define IBISMUX_RELEASE_OBJECT_SET_H_

#include <map>
#include <memory>
#include <string>

#include "ibismux/base/ids.h"
#include "ibismux/release/object_spec.h"
#include "ibismux/store/stored_object.h"

namespace ibismux::release {

/// An object as it is in force.
struct AcceptedObject {
  store::Version version = 0;
  Generation generation = 0;  ///< That accepted it.
  std::string change_id;
  std::shared_ptr<const ObjectSpec> spec;

  /// A version has one spec, so comparing the specs is not needed.
  [[nodiscard]] bool operator==(const AcceptedObject& other) const noexcept {
    return this->version == other.version &&
           this->generation == other.generation &&
           this->change_id == other.change_id;
  }
};

/// Why the newest version of an object is not in force.
struct Rejection {
  store::Version version = 0;
  Generation generation = 0;  ///< That first says so.
  std::string change_id;
  std::string reason;

  [[nodiscard]] bool operator==(const Rejection&) const = default;
};

/// In order of their keys, so that what is made of them doesn't depend on the
/// order in which they came.
using ObjectSet = std::map<ObjectKey, AcceptedObject>;
using RejectionSet = std::map<ObjectKey, Rejection>;

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_OBJECT_SET_H_
