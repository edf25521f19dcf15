#ifndef IBISMUX_CALLER_REQUEST_IDS_H_
#define IBISMUX_CALLER_REQUEST_IDS_H_

#include <atomic>
#include <cstdint>
#include <string>

namespace ibismux::caller {

/// Makes up ids for requests that come without one: a random prefix of this
/// run of the daemon, and a number. Thread safe.
class RequestIds {
 public:
  /// @param seed Random and fresh at each start of the daemon.
  explicit RequestIds(std::uint64_t seed);

  /// 32 hexadecimal digits, never the same twice.
  [[nodiscard]] std::string next();

 private:
  const std::uint64_t prefix;
  std::atomic<std::uint64_t> sequence{0};
};

}  // namespace ibismux::caller

#endif  // IBISMUX_CALLER_REQUEST_IDS_H_
