#ifndef IBISMUX_QUARANTINE_REQUEST_DIGEST_H_
#define IBISMUX_QUARANTINE_REQUEST_DIGEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace ibismux::quarantine {

/// The parts of a request that a leaf's work depends on.
struct RequestContent {
  std::string_view method;
  std::string_view host;
  std::string_view target;  ///< Path and query.
  std::string_view body;
};

/// Identifies what a request asks, whoever sends it and however often: the same
/// for all attempts of a caller, on all daemons and in all versions of them.
///
/// A value of 128 bits; not a cryptographic hash.
class RequestDigest {
 public:
  RequestDigest() = default;
  /// Thread safe.
  explicit RequestDigest(const RequestContent& content) noexcept;

  /// The digest that `text()` gave, or nothing where `text` is none. Thread
  /// safe.
  [[nodiscard]] static std::optional<RequestDigest> parse(
      std::string_view text) noexcept;

  /// 32 hexadecimal digits. Thread safe.
  [[nodiscard]] std::string text() const;

  [[nodiscard]] bool operator==(const RequestDigest&) const noexcept = default;
  /// An order for maps.
  [[nodiscard]] bool operator<(const RequestDigest& other) const noexcept {
    return std::tie(this->high, this->low) < std::tie(other.high, other.low);
  }

 private:
  std::uint64_t high = 0;
  std::uint64_t low = 0;
};

}  // namespace ibismux::quarantine

#endif  // IBISMUX_QUARANTINE_REQUEST_DIGEST_H_
