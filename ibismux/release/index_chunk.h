#ifndef IBISMUX_RELEASE_INDEX_CHUNK_H_
#define IBISMUX_RELEASE_INDEX_CHUNK_H_

#include <string>
#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/release/chunk_ref.h"

namespace ibismux::release {

/// Where the chunks of a run of buckets stand, with the bytes that say so.
/// Immutable, as a chunk is.
struct IndexChunk {
  std::string bytes;
  std::vector<ChunkRef> chunks;  ///< A power of two of them.
};

/// The same chunks always give the same bytes. Thread safe.
[[nodiscard]] std::string encode_index(const std::vector<ChunkRef>& chunks);

/// kProtocolError where `bytes` are no index chunk. Thread safe.
[[nodiscard]] Result<IndexChunk> decode_index(const std::string& bytes);

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_INDEX_CHUNK_H_
