#ifndef IBISMUX_RELEASE_CHUNK_REF_CODEC_H_
#define IBISMUX_RELEASE_CHUNK_REF_CODEC_H_

#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/release/chunk_ref.h"

namespace ibismux::release {

namespace gen {
class ChunkRef;
}

/// @name Thrift forms of references; thread safe.
/// @{
[[nodiscard]] std::vector<gen::ChunkRef> to_wire(
    const std::vector<ChunkRef>& refs);

/// kProtocolError where one has a malformed hash, or where they are neither
/// none nor a power of two.
[[nodiscard]] Result<std::vector<ChunkRef>> from_wire(
    const std::vector<gen::ChunkRef>& wire);
/// @}

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_CHUNK_REF_CODEC_H_
