#include "ibismux/release/index_chunk.h"

#include <utility>

#include "ibismux/peer/thrift_codec.h"
#include "ibismux/release/chunk_ref_codec.h"
#include "ibismux/release/gen/release_types.h"

namespace ibismux::release {

std::string encode_index(const std::vector<ChunkRef>& chunks) {
  gen::IndexChunk wire;
  wire.chunks = to_wire(chunks);
  return peer::encode(wire);
}

Result<IndexChunk> decode_index(const std::string& bytes) {
  const Result<gen::IndexChunk> wire = peer::decode<gen::IndexChunk>(bytes);
  if (!wire) {
    return tl::unexpected<Error>(wire.error());
  }
  Result<std::vector<ChunkRef>> chunks = from_wire(wire->chunks);
  if (!chunks) {
    return tl::unexpected<Error>(chunks.error());
  }
  if (chunks->empty()) {
    return fail(ErrorKind::kProtocolError, "index without chunks");
  }
  return IndexChunk{bytes, std::move(*chunks)};
}

}  // namespace ibismux::release
