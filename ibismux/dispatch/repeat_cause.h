#ifndef IBISMUX_DISPATCH_REPEAT_CAUSE_H_
#define IBISMUX_DISPATCH_REPEAT_CAUSE_H_

#include <array>
#include <cstddef>
#include <string_view>

namespace ibismux::dispatch {

/// Why a request is sent to another leaf.
enum class RepeatCause : unsigned char {
  kSlow,          ///< The answer takes longer than usual.
  kUnresponsive,  ///< Another call has found the leaf unresponsive.
  kFailed,        ///< The leaf failed, or its answer was lost.
  kNotRun,  ///< No byte was sent, or the leaf reports that it has not run it.
};

inline constexpr std::size_t kRepeatCauses = 4;

[[nodiscard]] constexpr std::string_view to_string(RepeatCause cause) noexcept {
  constexpr std::array<std::string_view, kRepeatCauses> kNames = {
      "slow", "unresponsive", "failed", "not_run"};
  return kNames[static_cast<std::size_t>(cause)];
}

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_REPEAT_CAUSE_H_
