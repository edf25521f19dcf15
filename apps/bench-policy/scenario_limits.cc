#include "apps/bench-policy/scenarios.h"

namespace ibismux::bench {

boost::json::object run_limits(std::uint64_t /*seed*/) {
  return {};
}

}  // namespace ibismux::bench
