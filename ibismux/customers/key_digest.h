#ifndef IBISMUX_CUSTOMERS_KEY_DIGEST_H_
#define IBISMUX_CUSTOMERS_KEY_DIGEST_H_

#include <array>
#include <string>
#include <string_view>

namespace ibismux::customers {

/// Keyed digest of an API key. Keys are compared by it and never stored.
using KeyDigest = std::array<unsigned char, 16>;

/// Computes the digests of API keys (BLAKE2b, keyed with a salt).
///
/// Immutable; thread safe.
class KeyHasher {
 public:
  static constexpr std::size_t kSaltBytes = 32;

  /// Precondition: `salt` has `kSaltBytes` bytes.
  explicit KeyHasher(std::string salt) : salt(std::move(salt)) {}

  /// A salt that no one else knows.
  [[nodiscard]] static std::string random_salt();

  [[nodiscard]] KeyDigest digest(std::string_view key) const;

 private:
  std::string salt;
};

/// @name Hexadecimal text. Thread safe.
/// @{
[[nodiscard]] std::string to_hex(std::string_view bytes);
[[nodiscard]] std::string to_hex(const KeyDigest& digest);
/// The bytes of `text`, or an empty string if it isn't hexadecimal.
[[nodiscard]] std::string from_hex(std::string_view text);
/// @}

}  // namespace ibismux::customers

#endif  // IBISMUX_CUSTOMERS_KEY_DIGEST_H_
