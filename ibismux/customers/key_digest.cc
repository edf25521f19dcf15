#include "ibismux/customers/key_digest.h"

#include <sodium.h>

namespace ibismux::customers {

namespace {

const unsigned char* bytes_of(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

}  // namespace

std::string KeyHasher::random_salt() {
  std::string salt(kSaltBytes, '\0');
  randombytes_buf(salt.data(), salt.size());
  return salt;
}

KeyDigest KeyHasher::digest(std::string_view key) const {
  KeyDigest digest{};
  crypto_generichash(digest.data(), digest.size(), bytes_of(key), key.size(),
                     bytes_of(this->salt), this->salt.size());
  return digest;
}

std::string to_hex(std::string_view bytes) {
  // The library terminates the text with a zero byte.
  std::string text(bytes.size() * 2 + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), bytes_of(bytes), bytes.size());
  text.pop_back();
  return text;
}

std::string to_hex(const KeyDigest& digest) {
  return to_hex(std::string_view(reinterpret_cast<const char*>(digest.data()),
                                 digest.size()));
}

std::string from_hex(std::string_view text) {
  std::string bytes(text.size() / 2, '\0');
  std::size_t length = 0;
  const char* end = nullptr;
  const int failed = sodium_hex2bin(
      reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(), text.data(),
      text.size(), nullptr, &length, &end);
  const bool whole =
      !failed && end == text.data() + text.size() && length * 2 == text.size();
  return whole ? bytes : std::string();
}

}  // namespace ibismux::customers
