#ifndef IBISMUX_STORE_CALL_KIND_H_
#define IBISMUX_STORE_CALL_KIND_H_

#include <array>
#include <cstddef>
#include <string_view>

namespace ibismux::store {

/// What the platform's rates and this daemon's budget tell apart.
enum class CallKind : unsigned char { kRead, kWrite, kWatch };

inline constexpr std::size_t kCallKinds = 3;

/// How one call ended, as the metrics count it.
enum class CallResult : unsigned char {
  kOk,
  kConflict,
  kNotFound,
  kRefused,      ///< Too large, or otherwise not to the platform's liking.
  kRateLimited,  ///< The platform's own cap (429).
  kUnavailable,  ///< Down: refused connection or 503. Not done.
  kLost,         ///< No answer: timed out or cut. A write may have been done.
  kMalformed,    ///< An answer that can't be read.
  kOverBudget,   ///< Not sent: this daemon's budget is spent.
  kBackedOff,    ///< Not sent: the platform is down.
};

inline constexpr std::size_t kCallResults = 10;

/// Label values of the metrics.
[[nodiscard]] constexpr std::string_view to_string(CallKind kind) noexcept {
  constexpr std::array<std::string_view, kCallKinds> kNames = {"read", "write",
                                                               "watch"};
  return kNames[static_cast<std::size_t>(kind)];
}

[[nodiscard]] constexpr std::string_view to_string(CallResult result) noexcept {
  constexpr std::array<std::string_view, kCallResults> kNames = {
      "ok",          "conflict", "not_found", "refused",     "rate_limited",
      "unavailable", "lost",     "malformed", "over_budget", "backed_off"};
  return kNames[static_cast<std::size_t>(result)];
}

}  // namespace ibismux::store

#endif  // IBISMUX_STORE_CALL_KIND_H_
