#ifndef IBISMUX_QUERY_CALL_ID_SOURCE_H_
#define IBISMUX_QUERY_CALL_ID_SOURCE_H_

#include <atomic>
#include <cstdint>

namespace ibismux::query {

/// Allocates call ids that are unique in the fleet and never reused.
///
/// Thread safe.
class CallIdSource {
 public:
  /// @param origin Random number that identifies this run of the daemon.
  explicit CallIdSource(std::uint64_t origin) noexcept : prefix(origin) {}

  [[nodiscard]] std::uint64_t origin() const noexcept { return this->prefix; }

  /// @return The first of `count` consecutive sequence numbers.
  [[nodiscard]] std::uint64_t reserve(std::uint64_t count) noexcept {
    return this->next.fetch_add(count, std::memory_order_relaxed);
  }

 private:
  const std::uint64_t prefix;
  std::atomic<std::uint64_t> next{1};
};

}  // namespace ibismux::query

#endif  // IBISMUX_QUERY_CALL_ID_SOURCE_H_
