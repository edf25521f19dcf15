#ifndef IBISMUX_RELEASE_RELEASE_CONTENTS_H_
#define IBISMUX_RELEASE_RELEASE_CONTENTS_H_

#include <memory>
#include <string>
#include <vector>

#include "ibismux/release/chunk.h"
#include "ibismux/release/head.h"
#include "ibismux/release/object_set.h"

namespace ibismux::release {

/// A chunk with what its bytes hold. Immutable; releases share those that
/// didn't change between them.
struct StoredChunk {
  std::string bytes;
  Chunk chunk;
};

/// One release, whole: the head, the chunks that it names, and the objects and
/// rejections of all of them.
struct ReleaseContents {
  Head head;  ///< Of generation 0 before the first release.
  /// By bucket; null where the bucket has no objects.
  std::vector<std::shared_ptr<const StoredChunk>> chunks;
  ObjectSet objects;
  RejectionSet rejections;
};

/// The release of `head` out of its chunks. Errors: kInvalidRequest where the
/// objects are not valid together. Thread safe.
/// @param base Any release; the nearer, the less work.
[[nodiscard]] Result<std::shared_ptr<const ReleaseContents>> make_contents(
    const ReleaseContents& base,
    Head head,
    std::vector<std::shared_ptr<const StoredChunk>> chunks);

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_RELEASE_CONTENTS_H_
