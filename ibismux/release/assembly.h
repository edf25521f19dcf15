#ifndef IBISMUX_RELEASE_ASSEMBLY_H_
#define IBISMUX_RELEASE_ASSEMBLY_H_

#include <string>
#include <vector>

#include "ibismux/release/release_contents.h"
#include "ibismux/release/release_layout.h"

namespace ibismux::release {

/// A release in the form that is written: its head, and the chunks and index
/// chunks that its base doesn't have.
struct Assembly {
  struct NewChunk {
    std::string name;
    std::string bytes;
  };

  Head head;
  std::vector<ChunkRef> refs;    ///< Of all chunks, by bucket.
  std::vector<NewChunk> chunks;  ///< Index chunks after what they name.
};

/// The release of `objects` and `rejections` that follows `base`.
///
/// Only buckets whose objects changed get a new chunk, and only runs of buckets
/// with such a one a new index chunk. The number of buckets
/// follows the number of objects, with a factor of two between growing and
/// standing still, and never falls: a change of it rewrites everything.
/// @param head All but chunks and indexes; its generation names the new ones.
/// Thread safe.
[[nodiscard]] Assembly assemble(const ReleaseContents& base,
                                const ObjectSet& objects,
                                const RejectionSet& rejections,
                                const Head& head,
                                const ReleaseLayout& layout = {});

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_ASSEMBLY_H_
