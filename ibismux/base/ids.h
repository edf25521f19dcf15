#ifndef IBISMUX_BASE_IDS_H_
#define IBISMUX_BASE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace ibismux {

/// Names one call to one leaf, across the whole fleet and for ever: the random
/// 64-bit prefix of the entry daemon's incarnation, and a counter of its own.
struct CallId {
  std::uint64_t origin = 0;
  std::uint64_t sequence = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads <=>.
  [[nodiscard]] auto operator<=>(const CallId&) const noexcept = default;
};

/// 32 hexadecimal digits. Thread safe.
[[nodiscard]] std::string to_string(const CallId& id);

/// Names one run of one daemon. `member` is the host's name in its settings;
/// `incarnation` is random and fresh at each start, so that a restarted daemon
/// is never taken for the one before it.
struct Incarnation {
  std::string member;
  std::uint64_t number = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads <=>.
  [[nodiscard]] auto operator<=>(const Incarnation&) const noexcept = default;
};

/// Generation of a release; only ever rises. 0 means none.
using Generation = std::uint64_t;

}  // namespace ibismux

template <>
struct std::hash<ibismux::CallId> {
  std::size_t operator()(const ibismux::CallId& id) const noexcept {
    return id.origin * 0x9e3779b97f4a7c15ULL ^ id.sequence;
  }
};

#endif  // IBISMUX_BASE_IDS_H_
