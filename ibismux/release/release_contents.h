#ifndef IBISMUX_RELEASE_RELEASE_CONTENTS_H_
#define IBISMUX_RELEASE_RELEASE_CONTENTS_H_

#include <memory>

#include "ibismux/base/error.h"
#include "ibismux/release/head.h"
#include "ibismux/release/object_set.h"
#include "ibismux/release/release_parts.h"

namespace ibismux::release {

/// One release, whole: the head, the parts that it names, and the objects and
/// rejections of all of them.
struct ReleaseContents {
  Head head;  ///< Of generation 0 before the first release.
  ReleaseParts parts;
  ObjectSet objects;
  RejectionSet rejections;
};

/// The release of `head` out of its parts. Errors: kInvalidRequest where the
/// objects are not valid together. Thread safe.
/// @param base Any release; the nearer, the less work.
[[nodiscard]] Result<std::shared_ptr<const ReleaseContents>>
make_contents(const ReleaseContents& base, Head head, ReleaseParts parts);

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_RELEASE_CONTENTS_H_
