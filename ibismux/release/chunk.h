#ifndef IBISMUX_RELEASE_CHUNK_H_
#define IBISMUX_RELEASE_CHUNK_H_

#include <cstddef>
#include <string>

#include "ibismux/base/error.h"
#include "ibismux/release/object_set.h"

namespace ibismux::release {

/// The objects of one bucket, and which of their newer versions were rejected
/// and why: status travels with the release, so it is as durable and as far
/// spread as what it speaks of.
struct Chunk {
  ObjectSet objects;
  RejectionSet rejections;

  [[nodiscard]] bool operator==(const Chunk&) const = default;
  [[nodiscard]] bool empty() const noexcept {
    return this->objects.empty() && this->rejections.empty();
  }
};

/// The same contents always give the same bytes. Thread safe.
[[nodiscard]] std::string encode_chunk(const Chunk& chunk);

/// kProtocolError where `bytes` are no chunk; kInvalidRequest where an object
/// in it is not valid by itself. Thread safe.
[[nodiscard]] Result<Chunk> decode_chunk(const std::string& bytes);

/// The bucket of `key` among `buckets`. Depends on the key alone, so that a
/// change of one object rewrites one chunk. Thread safe.
/// @param buckets A power of two.
[[nodiscard]] std::size_t bucket_of(const ObjectKey& key,
                                    std::size_t buckets) noexcept;

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_CHUNK_H_
