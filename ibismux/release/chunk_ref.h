#ifndef IBISMUX_RELEASE_CHUNK_REF_H_
#define IBISMUX_RELEASE_CHUNK_REF_H_

#include <string>

#include "ibismux/base/ids.h"

namespace ibismux::release {

/// Where a chunk or an index chunk stands.
struct ChunkRef {
  /// The generation that the chunk was written for. As part of its name it
  /// keeps a chunk from being deleted by one daemon while another, which builds
  /// on an older head, is about to name the same contents again.
  Generation generation = 0;
  std::string hash;  ///< XXH3-128, 32 hexadecimal digits; empty: no objects.

  [[nodiscard]] bool operator==(const ChunkRef&) const = default;
};

/// The name of a chunk among peers and in the platform's collection `releases`.
/// Thread safe.
[[nodiscard]] std::string chunk_name(const ChunkRef& chunk);

/// The name of an index chunk there. Thread safe.
[[nodiscard]] std::string index_name(const ChunkRef& index);

/// What the name of a chunk or an index chunk says.
struct ChunkName {
  bool is_index = false;
  ChunkRef ref;  ///< Of generation 0 where it is no such name.
};

/// Reads what `chunk_name` and `index_name` write. Thread safe.
[[nodiscard]] ChunkName parse_chunk_name(const std::string& name);

/// The generation in the name of a chunk or an index chunk; 0 for any other
/// name. Thread safe.
[[nodiscard]] Generation chunk_generation(const std::string& name);

/// XXH3-128 of `bytes`, 32 hexadecimal digits. Thread safe.
[[nodiscard]] std::string content_hash(const std::string& bytes);

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_CHUNK_REF_H_
