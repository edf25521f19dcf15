#include "ibismux/release/head.h"

#include <utility>

#include "ibismux/peer/thrift_codec.h"
#include "ibismux/release/chunk_ref_codec.h"
#include "ibismux/release/gen/release_types.h"

namespace ibismux::release {
namespace {

gen::Change to_wire(const Change& change) {
  gen::Change wire;
  wire.sequence = static_cast<std::int64_t>(change.sequence);
  wire.change_id = change.change_id;
  wire.object = change.object;
  wire.from_version = static_cast<std::int64_t>(change.from_version);
  wire.to_version = static_cast<std::int64_t>(change.to_version);
  wire.who = change.who;
  wire.when_ms = change.when_ms;
  wire.generation = static_cast<std::int64_t>(change.generation);
  return wire;
}

Change from_wire(gen::Change&& wire) {
  return Change{.sequence = static_cast<std::uint64_t>(wire.sequence),
                .change_id = std::move(wire.change_id),
                .object = std::move(wire.object),
                .from_version = static_cast<std::uint64_t>(wire.from_version),
                .to_version = static_cast<std::uint64_t>(wire.to_version),
                .who = std::move(wire.who),
                .when_ms = wire.when_ms,
                .generation = static_cast<std::uint64_t>(wire.generation)};
}

Result<void> check(const Head& head) {
  if (head.generation == 0 || head.publication.empty()) {
    return fail(ErrorKind::kProtocolError, "head without a generation");
  }
  if (head.chunks.empty() == head.indexes.empty()) {
    return fail(ErrorKind::kProtocolError,
                "head with neither or both of chunks and indexes");
  }
  for (const ChunkRef& index : head.indexes) {
    if (index.hash.empty()) {
      return fail(ErrorKind::kProtocolError, "head with an empty index");
    }
  }
  return {};
}

}  // namespace

std::string encode_head(const Head& head) {
  gen::Head wire;
  wire.generation = static_cast<std::int64_t>(head.generation);
  wire.publication = head.publication;
  wire.objects_version = static_cast<std::int64_t>(head.objects_version);
  wire.change_count = static_cast<std::int64_t>(head.change_count);
  wire.chunks = to_wire(head.chunks);
  wire.indexes = to_wire(head.indexes);
  for (const Change& change : head.recent) {
    wire.recent.push_back(to_wire(change));
  }
  return peer::encode(wire);
}

Result<Head> decode_head(const std::string& bytes) {
  Result<gen::Head> wire = peer::decode<gen::Head>(bytes);
  if (!wire) {
    return tl::unexpected<Error>(wire.error());
  }
  Head head;
  head.generation = static_cast<Generation>(wire->generation);
  head.publication = std::move(wire->publication);
  head.objects_version = static_cast<std::uint64_t>(wire->objects_version);
  head.change_count = static_cast<std::uint64_t>(wire->change_count);
  Result<std::vector<ChunkRef>> chunks = from_wire(wire->chunks);
  Result<std::vector<ChunkRef>> indexes = from_wire(wire->indexes);
  if (!chunks || !indexes) {
    return tl::unexpected<Error>(chunks ? indexes.error() : chunks.error());
  }
  head.chunks = std::move(*chunks);
  head.indexes = std::move(*indexes);
  for (gen::Change& change : wire->recent) {
    head.recent.push_back(from_wire(std::move(change)));
  }
  if (const Result<void> sound = check(head); !sound) {
    return tl::unexpected<Error>(sound.error());
  }
  return head;
}

}  // namespace ibismux::release
