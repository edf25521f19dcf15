#include "ibismux/backend/leaf_health.h"

#include <boost/json.hpp>

namespace ibismux::backend {

LeafHealth parse_health(const std::string& body) noexcept {
  LeafHealth health;
  boost::system::error_code error;
  const boost::json::value value = boost::json::parse(body, error);
  if (error || !value.is_object()) {
    return health;
  }
  const boost::json::object& fields = value.get_object();
  const boost::json::value* state = fields.if_contains("state");
  if (state != nullptr && state->is_string()) {
    const std::string_view name = state->get_string();
    health.state = name == "ready"      ? LeafHealth::State::kReady
                   : name == "warming"  ? LeafHealth::State::kWarming
                   : name == "draining" ? LeafHealth::State::kDraining
                                        : LeafHealth::State::kUnknown;
  }
  const boost::json::value* load = fields.if_contains("load");
  if (load != nullptr && load->is_number()) {
    health.load = load->to_number<double>();
  }
  return health;
}

}  // namespace ibismux::backend
