#include "ibismux/release/chunk.h"

#include <xxhash.h>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "ibismux/peer/thrift_codec.h"
#include "ibismux/release/gen/release_types.h"
#include "ibismux/release/object_codec.h"

namespace ibismux::release {
namespace {

Result<ObjectKey> read_key(const std::string& text) {
  std::optional<ObjectKey> key = object_key_of(text);
  if (!key) {
    return fail(ErrorKind::kProtocolError, "chunk with a malformed key");
  }
  return *std::move(key);
}

Result<void> read_object(gen::ChunkObject&& wire, ObjectSet& objects) {
  const Result<ObjectKey> key = read_key(wire.object);
  if (!key) {
    return tl::unexpected<Error>(key.error());
  }
  boost::system::error_code error;
  const boost::json::value json = boost::json::parse(wire.spec, error);
  if (error || !json.is_object()) {
    return fail(ErrorKind::kProtocolError, "chunk with a malformed spec");
  }
  Result<ObjectSpec> spec = parse_spec(*key, json.get_object());
  if (!spec) {
    return tl::unexpected<Error>(spec.error());
  }
  objects[*key] = AcceptedObject{
      .version = static_cast<store::Version>(wire.version),
      .generation = static_cast<Generation>(wire.generation),
      .change_id = std::move(wire.change_id),
      .spec = std::make_shared<const ObjectSpec>(std::move(*spec))};
  return {};
}

Result<void> read_rejection(gen::ChunkRejection&& wire,
                            RejectionSet& rejections) {
  const Result<ObjectKey> key = read_key(wire.object);
  if (!key) {
    return tl::unexpected<Error>(key.error());
  }
  rejections[*key] =
      Rejection{.version = static_cast<store::Version>(wire.version),
                .generation = static_cast<Generation>(wire.generation),
                .change_id = std::move(wire.change_id),
                .reason = std::move(wire.reason)};
  return {};
}

}  // namespace

std::string encode_chunk(const Chunk& chunk) {
  gen::Chunk wire;
  for (const auto& [key, object] : chunk.objects) {
    gen::ChunkObject row;
    row.object = to_string(key);
    row.version = static_cast<std::int64_t>(object.version);
    row.generation = static_cast<std::int64_t>(object.generation);
    row.change_id = object.change_id;
    row.spec = boost::json::serialize(spec_to_json(*object.spec));
    wire.objects.push_back(std::move(row));
  }
  for (const auto& [key, rejection] : chunk.rejections) {
    gen::ChunkRejection row;
    row.object = to_string(key);
    row.version = static_cast<std::int64_t>(rejection.version);
    row.generation = static_cast<std::int64_t>(rejection.generation);
    row.change_id = rejection.change_id;
    row.reason = rejection.reason;
    wire.rejections.push_back(std::move(row));
  }
  return peer::encode(wire);
}

Result<Chunk> decode_chunk(const std::string& bytes) {
  Result<gen::Chunk> wire = peer::decode<gen::Chunk>(bytes);
  if (!wire) {
    return tl::unexpected<Error>(wire.error());
  }
  Chunk chunk;
  for (gen::ChunkObject& row : wire->objects) {
    if (const auto read = read_object(std::move(row), chunk.objects); !read) {
      return tl::unexpected<Error>(read.error());
    }
  }
  for (gen::ChunkRejection& row : wire->rejections) {
    if (const auto read = read_rejection(std::move(row), chunk.rejections);
        !read) {
      return tl::unexpected<Error>(read.error());
    }
  }
  return chunk;
}

std::size_t bucket_of(const ObjectKey& key, std::size_t buckets) noexcept {
  const std::uint64_t hash = XXH3_64bits_withSeed(
      key.name.data(), key.name.size(), static_cast<std::uint64_t>(key.kind));
  return static_cast<std::size_t>(hash) & (buckets - 1);
}

}  // namespace ibismux::release
