#ifndef IBISMUX_CALLER_FIELD_READER_H_
#define IBISMUX_CALLER_FIELD_READER_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "ibismux/base/error.h"
#include "ibismux/http/message.h"

namespace ibismux::caller {

/// Reads and checks the fields of one request. An error is kInvalidRequest and
/// names the field and what is allowed.
///
/// A field that is given twice, or without a value, is an error: an empty
/// `Idempotency-Key` taken for an absent one would run without the protection
/// that its caller counts on. Not thread safe; `request` outlives the object
/// and the views that it gives out.
class FieldReader {
 public:
  explicit FieldReader(const http::Request& request) : request(request) {}

  /// Printable ASCII of at most `most_bytes`, or nothing where absent.
  [[nodiscard]] Result<std::optional<std::string_view>> text(
      std::string_view name,
      std::size_t most_bytes) const;

  /// A whole number from `least` to `most`, or nothing where absent.
  [[nodiscard]] Result<std::optional<std::uint32_t>>
  number(std::string_view name, std::uint32_t least, std::uint32_t most) const;

  /// A number from 0 to 1, or nothing where absent.
  [[nodiscard]] Result<std::optional<double>> share(
      std::string_view name) const;

 private:
  [[nodiscard]] Result<std::optional<std::string_view>> find(
      std::string_view name) const;

  const http::Request& request;
};

/// Checks that `value` is 1 to `most_bytes` of printable ASCII; the error says
/// so of `name`. Thread safe.
[[nodiscard]] Result<void> check_text(std::string_view name,
                                      std::string_view value,
                                      std::size_t most_bytes);

}  // namespace ibismux::caller

#endif  // IBISMUX_CALLER_FIELD_READER_H_
