#ifndef IBISMUX_RELEASE_OBJECT_SPEC_H_
#define IBISMUX_RELEASE_OBJECT_SPEC_H_

#include <variant>

#include "ibismux/release/backend_server.h"
#include "ibismux/release/limit_policy.h"
#include "ibismux/release/object_key.h"
#include "ibismux/release/query_service.h"
#include "ibismux/release/shard.h"
#include "ibismux/release/snapshot.h"

namespace ibismux::release {

/// What an operator declares; the alternatives stand in the order of
/// `ObjectKind`.
using ObjectSpec =
    std::variant<QueryService, Shard, BackendServer, Snapshot, LimitPolicy>;

/// The key of the object that `spec` describes. Thread safe.
[[nodiscard]] inline ObjectKey key_of(const ObjectSpec& spec) {
  return ObjectKey{static_cast<ObjectKind>(spec.index()),
                   std::visit([](const auto& s) { return s.name; }, spec)};
}

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_OBJECT_SPEC_H_
