#ifndef IBISMUX_RELEASE_DRY_RUN_H_
#define IBISMUX_RELEASE_DRY_RUN_H_

#include <string>
#include <vector>

#include "ibismux/release/object_codec.h"
#include "ibismux/release/release_contents.h"

namespace ibismux::release {

/// What would become of one object.
struct DryRunVerdict {
  ObjectKey key;
  bool accepted = false;
  std::string reason;  ///< Of a rejection.
};

/// What would become of `records` if all were written now, in their order, on
/// top of `base`; by the very decision that publishing makes. Thread safe.
[[nodiscard]] std::vector<DryRunVerdict> dry_run(
    const ReleaseContents& base,
    const std::vector<ObjectRecord>& records);

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_DRY_RUN_H_
