#include "ibismux/quarantine/request_digest.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>

#include "ibismux/base/hex.h"

namespace ibismux::quarantine {

namespace {

constexpr std::size_t kHexDigits = 32;
constexpr int kHexBase = 16;

bool parse_hex(std::string_view text, std::uint64_t& value) noexcept {
  const char* end = text.data() + text.size();
  const auto [last, error] = std::from_chars(text.data(), end, value, kHexBase);
  return error == std::errc() && last == end;
}

}  // namespace

RequestDigest::RequestDigest(const RequestContent& content) noexcept {
  const std::array<std::string_view, 4> parts{content.method, content.host,
                                              content.target, content.body};
  // Each part is hashed separately first, so that moving a byte from one part
  // to the next changes the digest.
  std::array<XXH128_hash_t, parts.size()> hashes;
  std::transform(parts.begin(), parts.end(), hashes.begin(),
                 [](std::string_view part) {
                   return XXH3_128bits(part.data(), part.size());
                 });
  const XXH128_hash_t hash = XXH3_128bits(hashes.data(), sizeof hashes);
  this->high = hash.high64;
  this->low = hash.low64;
}

std::optional<RequestDigest> RequestDigest::parse(
    std::string_view text) noexcept {
  RequestDigest digest;
  if (text.size() != kHexDigits ||
      !parse_hex(text.substr(0, kHexDigits / 2), digest.high) ||
      !parse_hex(text.substr(kHexDigits / 2), digest.low)) {
    return std::nullopt;
  }
  return digest;
}

std::string RequestDigest::text() const {
  return hex_digits(this->high, this->low);
}

}  // namespace ibismux::quarantine
