#include "ibismux/reservation/key_hash.h"

#include <xxhash.h>

#include <string>

namespace ibismux::reservation {

KeyHash hash_key(std::string_view service, std::string_view key) {
  std::string both(service);
  both += '\0';
  both += key;
  const XXH128_hash_t hash = XXH3_128bits(both.data(), both.size());
  return {hash.high64, hash.low64};
}

std::uint32_t bucket_of(const KeyHash& key) noexcept {
  return static_cast<std::uint32_t>(key.high % kBuckets);
}

std::uint64_t hash_body(std::string_view body) noexcept {
  return XXH3_64bits(body.data(), body.size());
}

}  // namespace ibismux::reservation
