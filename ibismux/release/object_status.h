#ifndef IBISMUX_RELEASE_OBJECT_STATUS_H_
#define IBISMUX_RELEASE_OBJECT_STATUS_H_

#include <string_view>

#include "ibismux/release/release_contents.h"

namespace ibismux::release {

/// What has become of an object's newest version.
enum class ObjectState : unsigned char {
  kPending,   ///< No release has looked at it yet.
  kAccepted,  ///< In force.
  kRejected,  ///< Not in force; an older version may be.
  kAbsent,    ///< Not there: deleted, or never written.
};

inline constexpr std::size_t kObjectStates = 4;

[[nodiscard]] std::string_view to_string(ObjectState state) noexcept;

/// The status of one object. Thread safe.
struct ObjectStatus {
  ObjectState state = ObjectState::kAbsent;
  store::Version version = 0;  ///< That is in force; 0 if none is.
  /// That accepted or rejected it; of the release for an absent one.
  Generation generation = 0;
  std::string change_id;
  std::string reason;  ///< Of a rejection.
};

/// What `contents` says of `key`, whose newest version is `written`; 0 where
/// that isn't known. Thread safe.
[[nodiscard]] ObjectStatus status_of(const ReleaseContents& contents,
                                     const ObjectKey& key,
                                     store::Version written);

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_OBJECT_STATUS_H_
