#ifndef IBISMUX_QUARANTINE_REQUEST_DIGEST_H_
#define IBISMUX_QUARANTINE_REQUEST_DIGEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace ibismux::quarantine {

/// The parts of a request that determine the work of a leaf.
struct RequestContent {
  std::string_view method;
  std::string_view host;
  std::string_view target;  ///< Path and query.
  std::string_view body;
};

/// A 128-bit hash of the content of a request; not cryptographic.
///
/// It does not depend on the sender and is the same for all attempts of a
/// caller, on all daemons and in all of their versions.
class RequestDigest {
 public:
  RequestDigest() = default;
  /// Thread safe.
  explicit RequestDigest(const RequestContent& content) noexcept;

  /// Parses the output of `text()`; returns nothing if `text` isn't a digest.
  /// Thread safe.
  [[nodiscard]] static std::optional<RequestDigest> parse(
      std::string_view text) noexcept;

  /// 32 hexadecimal digits. Thread safe.
  [[nodiscard]] std::string text() const;

  [[nodiscard]] bool operator==(const RequestDigest&) const noexcept = default;
  /// Ordering for use as a map key.
  [[nodiscard]] bool operator<(const RequestDigest& other) const noexcept {
    return std::tie(this->high, this->low) < std::tie(other.high, other.low);
  }

 private:
  std::uint64_t high = 0;
  std::uint64_t low = 0;
};

}  // namespace ibismux::quarantine

#endif  // IBISMUX_QUARANTINE_REQUEST_DIGEST_H_
