#ifndef IBISMUX_CUSTOMERS_BEARER_KEY_H_
#define IBISMUX_CUSTOMERS_BEARER_KEY_H_

#include <span>
#include <string>
#include <string_view>

#include "ibismux/base/error.h"

namespace ibismux::customers {

/// Longest key that is looked up, in bytes.
inline constexpr std::size_t kMaxKeyBytes = 4096;

/// The API key in the values of a request's `Authorization` fields, by RFC
/// 6750, section 2.1: the scheme `Bearer` in any case, spaces or tabs, and the
/// key; blanks around both are ignored. A key has no blanks.
///
/// Errors, all kUnauthorized: no field, more than one, another scheme, no key,
/// a key with blanks, or one longer than `kMaxKeyBytes`. The messages don't
/// repeat any part of the fields. Thread safe.
/// @return A part of `values`.
[[nodiscard]] Result<std::string_view> bearer_key(
    std::span<const std::string> values);

}  // namespace ibismux::customers

#endif  // IBISMUX_CUSTOMERS_BEARER_KEY_H_
