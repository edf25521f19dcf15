// The network of the simulated fleet: what a message costs and how long it is
// on its way.

#include "apps/bench-control-sim/sim_network.h"

#include <algorithm>
#include <utility>

#include "apps/bench-control-sim/sim_fleet.h"

namespace ibismux::bench {

namespace {

using namespace std::chrono_literals;

/// Three segments to open, two hellos with headers, four to close.
constexpr std::size_t kConnectBytes = 3 * 60 + 2 * 120 + 4 * 52;
constexpr Duration kInZone = 250us;
constexpr Duration kIdle = 120s;

}  // namespace

void SimFleet::later(Duration delay, std::function<void()> action) {
  this->events.push({this->clock + delay, ++this->order, std::move(action)});
}

void SimFleet::send(std::size_t from,
                    std::size_t to,
                    std::size_t payload,
                    std::uint64_t& counter,
                    std::function<void()> action) {
  const std::uint64_t run = this->daemons[to].run;
  counter += payload + kOverhead;
  if (run == 0) {
    return;
  }
  // Connections serve both ways; the lower index keeps the time of last use.
  const std::size_t low = std::min(from, to);
  const std::size_t high = std::max(from, to);
  auto& used = this->daemons[low].connected;
  const auto millis =
      static_cast<std::uint64_t>(to_millis(this->clock.time_since_epoch()));
  const auto found = used.find(high);
  if (found == used.end() ||
      millis - found->second > static_cast<std::uint64_t>(to_millis(kIdle))) {
    ++this->counted.connects;
    counter += kConnectBytes;
  }
  used[high] = millis;
  this->later(this->trip(from, to),
              [this, to, run, action = std::move(action)] {
                if (this->daemons[to].run == run) {
                  action();
                }
              });
}

Duration SimFleet::trip(std::size_t from, std::size_t to) const {
  return this->daemons[from].zone == this->daemons[to].zone ? kInZone : kAcross;
}

}  // namespace ibismux::bench
