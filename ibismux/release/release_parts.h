#ifndef IBISMUX_RELEASE_RELEASE_PARTS_H_
#define IBISMUX_RELEASE_RELEASE_PARTS_H_

#include <memory>
#include <string>
#include <vector>

#include "ibismux/release/chunk.h"
#include "ibismux/release/chunk_ref.h"
#include "ibismux/release/head.h"
#include "ibismux/release/index_chunk.h"

namespace ibismux::release {

/// How often what a head names must be asked for until nothing can be missing:
/// index chunks, and then chunks. Whoever asks on may ask for ever, where what
/// comes doesn't match its hash.
inline constexpr int kPartLevels = 2;

/// A chunk with what its bytes hold. Immutable; releases share those that
/// didn't change between them.
struct StoredChunk {
  std::string bytes;
  Chunk chunk;
};

/// All that a head names, at first hand or through an index chunk.
struct ReleaseParts {
  std::vector<ChunkRef> refs;  ///< By bucket.
  /// By bucket; null where the bucket has no objects.
  std::vector<std::shared_ptr<const StoredChunk>> chunks;
  /// In the order of the head's indexes.
  std::vector<std::shared_ptr<const IndexChunk>> indexes;
};

/// The names of everything that `head` names, at first hand or through an index
/// chunk; `refs` are those of its buckets. Thread safe.
[[nodiscard]] std::vector<std::string> names_of(
    const Head& head,
    const std::vector<ChunkRef>& refs);

/// The bytes of the chunk or index chunk of that name; null if it is not of
/// this release. Thread safe.
[[nodiscard]] const std::string* find_part(const Head& head,
                                           const ReleaseParts& parts,
                                           const std::string& name);

/// The names of what was written after generation `have` under the index chunk
/// `index`, or in the whole release if that is empty. Who has that generation
/// in force lacks just these: a head names only what the one before it named,
/// and what was written for it. Thread safe.
[[nodiscard]] std::vector<std::string> written_since(const Head& head,
                                                     const ReleaseParts& parts,
                                                     Generation have,
                                                     const std::string& index);

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_RELEASE_PARTS_H_
