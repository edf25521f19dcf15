#ifndef IBISMUX_OPERATOR_OPERATOR_PORTS_H_
#define IBISMUX_OPERATOR_OPERATOR_PORTS_H_

#include <boost/json/value.hpp>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "ibismux/base/ids.h"
#include "ibismux/base/time.h"
#include "ibismux/release/object_key.h"
#include "ibismux/release/release_store.h"
#include "ibismux/store/object_store.h"

namespace prometheus {
class Registry;
}

namespace ibismux::operators {

/// On how many daemons a generation, or a higher one, is in force.
struct InForce {
  std::size_t reached = 0;
  std::size_t members = 0;

  [[nodiscard]] bool operator==(const InForce&) const = default;
  [[nodiscard]] bool everywhere() const noexcept {
    return this->members > 0 && this->reached >= this->members;
  }
};

/// One part of the status page, by whoever knows of it.
struct StatusSection {
  std::string name;
  std::function<boost::json::value()> value;
};

/// What the interface of operators stands on. The references outlive it; the
/// functions are thread safe and do not block.
struct OperatorPorts {
  store::ObjectStore& store;
  release::ReleaseStore& releases;
  prometheus::Registry& registry;
  Incarnation self;

  /// Hears of each write made through this daemon; `Publisher::nudge`.
  std::function<void(const release::ObjectKey&, store::Version)> written;
  std::function<InForce(Generation)> in_force;
  /// Why this daemon is not ready; empty if it is.
  std::function<std::string()> not_ready_because;
  /// Begins a graceful shutdown.
  std::function<void()> drain;
  std::vector<StatusSection> sections;

  std::function<WallTime()> wall_clock = std::chrono::system_clock::now;
  std::chrono::milliseconds platform_timeout{3000};
};

}  // namespace ibismux::operators

#endif  // IBISMUX_OPERATOR_OPERATOR_PORTS_H_
