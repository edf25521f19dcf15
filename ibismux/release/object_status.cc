#include "ibismux/release/object_status.h"

namespace ibismux::release {

std::string_view to_string(ObjectState state) noexcept {
  constexpr std::string_view kNames[kObjectStates] = {"pending", "accepted",
                                                      "rejected", "absent"};
  return kNames[static_cast<std::size_t>(state)];
}

ObjectStatus status_of(const ReleaseContents& contents,
                       const ObjectKey& key,
                       store::Version written) {
  const auto accepted = contents.objects.find(key);
  const auto rejected = contents.rejections.find(key);
  const bool in_force = accepted != contents.objects.end();
  ObjectStatus status;
  status.version = in_force ? accepted->second.version : 0;
  if (in_force && status.version >= written && written != 0) {
    status.state = ObjectState::kAccepted;
  } else if (rejected != contents.rejections.end() &&
             contents.head.objects_version >= written) {
    status.state = ObjectState::kRejected;
    status.generation = rejected->second.generation;
    status.change_id = rejected->second.change_id;
    status.reason = rejected->second.reason;
    return status;
  } else if (contents.head.objects_version < written) {
    status.state = ObjectState::kPending;
    return status;
  } else if (in_force) {
    status.state =
        written == 0 ? ObjectState::kAccepted : ObjectState::kPending;
  }
  status.generation =
      in_force ? accepted->second.generation : contents.head.generation;
  status.change_id = in_force ? accepted->second.change_id : "";
  return status;
}

}  // namespace ibismux::release
