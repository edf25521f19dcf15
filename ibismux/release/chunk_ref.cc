#include "ibismux/release/chunk_ref.h"

#include <xxhash.h>

#include <charconv>
#include <string_view>

#include "ibismux/base/hex.h"

namespace ibismux::release {
namespace {

constexpr std::string_view kChunkPrefix = "chunk-";
constexpr std::string_view kIndexPrefix = "index-";

std::string name_of(std::string_view prefix, const ChunkRef& ref) {
  std::string name(prefix);
  name += std::to_string(ref.generation);
  name += '-';
  name += ref.hash;
  return name;
}

}  // namespace

std::string chunk_name(const ChunkRef& chunk) {
  return name_of(kChunkPrefix, chunk);
}

std::string index_name(const ChunkRef& index) {
  return name_of(kIndexPrefix, index);
}

ChunkName parse_chunk_name(const std::string& name) {
  ChunkName parsed;
  parsed.is_index = name.starts_with(kIndexPrefix);
  if (!parsed.is_index && !name.starts_with(kChunkPrefix)) {
    return parsed;
  }
  const char* end = name.data() + name.size();
  const auto [rest, error] = std::from_chars(name.data() + kChunkPrefix.size(),
                                             end, parsed.ref.generation);
  if (error == std::errc() && rest != end && *rest == '-') {
    parsed.ref.hash.assign(rest + 1, end);
  }
  return parsed;
}

Generation chunk_generation(const std::string& name) {
  return parse_chunk_name(name).ref.generation;
}

std::string content_hash(const std::string& bytes) {
  const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
  return hex_digits(hash.high64, hash.low64);
}

}  // namespace ibismux::release
