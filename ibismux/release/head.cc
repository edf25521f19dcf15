#include "ibismux/release/head.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <charconv>
#include <cstdio>
#include <string_view>

#include "ibismux/peer/thrift_codec.h"
#include "ibismux/release/gen/release_types.h"

namespace ibismux::release {
namespace {

constexpr std::string_view kChunkPrefix = "chunk-";
constexpr std::size_t kHashDigits = 32;

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

/// The digits of `bytes`, and back. Sixteen bytes travel, since at many chunks
/// their hashes are most of a head.
std::string to_digits(const std::string& bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string digits;
  for (const char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    digits += kDigits[byte >> 4];
    digits += kDigits[byte & 15];
  }
  return digits;
}

std::string to_bytes(const std::string& digits) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < digits.size(); i += 2) {
    unsigned char byte = 0;
    std::from_chars(&digits[i], &digits[i] + 2, byte, 16);
    bytes += static_cast<char>(byte);
  }
  return bytes;
}

Result<void> check(const Head& head) {
  if (head.generation == 0 || head.publication.empty()) {
    return fail(ErrorKind::kProtocolError, "head without a generation");
  }
  if (!std::has_single_bit(head.chunks.size())) {
    return fail(ErrorKind::kProtocolError,
                "head whose chunks are no power of two");
  }
  for (const ChunkRef& chunk : head.chunks) {
    if (!chunk.hash.empty() && chunk.hash.size() != kHashDigits) {
      return fail(ErrorKind::kProtocolError, "head with a malformed hash");
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
  wire.chunks.reserve(head.chunks.size());
  for (const ChunkRef& chunk : head.chunks) {
    gen::ChunkRef ref;
    ref.generation = static_cast<std::int64_t>(chunk.generation);
    ref.hash = to_bytes(chunk.hash);
    wire.chunks.push_back(std::move(ref));
  }
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
  for (gen::ChunkRef& ref : wire->chunks) {
    head.chunks.push_back(
        {static_cast<Generation>(ref.generation), to_digits(ref.hash)});
  }
  for (gen::Change& change : wire->recent) {
    head.recent.push_back(from_wire(std::move(change)));
  }
  if (const Result<void> sound = check(head); !sound) {
    return tl::unexpected<Error>(sound.error());
  }
  return head;
}

std::string chunk_name(const ChunkRef& chunk) {
  return std::string(kChunkPrefix) + std::to_string(chunk.generation) + "-" +
         chunk.hash;
}

Generation chunk_generation(const std::string& name) {
  if (!name.starts_with(kChunkPrefix)) {
    return 0;
  }
  Generation generation = 0;
  std::from_chars(name.data() + kChunkPrefix.size(), name.data() + name.size(),
                  generation);
  return generation;
}

std::string content_hash(const std::string& bytes) {
  const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
  char digits[kHashDigits + 1];
  std::snprintf(digits, sizeof(digits), "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return digits;
}

}  // namespace ibismux::release
