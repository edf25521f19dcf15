#ifndef IBISMUX_RELEASE_LIMIT_POLICY_H_
#define IBISMUX_RELEASE_LIMIT_POLICY_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace ibismux::release {

/// At most `limit` requests in any window of `window`.
struct RateRule {
  std::uint32_t limit = 0;
  std::chrono::milliseconds window{1000};

  [[nodiscard]] bool operator==(const RateRule&) const = default;
};

/// Object kind `limit_policy`: limits of the whole fleet, of which each live
/// daemon enforces its part.
struct LimitPolicy {
  enum class Scope : unsigned char { kService, kCaller };

  std::string name;
  Scope scope = Scope::kService;  ///< One count a service, or one a caller.
  std::uint32_t concurrency = 0;  ///< Requests at once; 0 means no limit.
  std::vector<RateRule> rates;

  [[nodiscard]] bool operator==(const LimitPolicy&) const = default;
};

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_LIMIT_POLICY_H_
