#ifndef APPS_BENCH_CONTROL_SIM_SIM_FLEET_H_
#define APPS_BENCH_CONTROL_SIM_SIM_FLEET_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <pcg_random.hpp>
#include <queue>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "ibismux/membership/membership_engine.h"
#include "ibismux/relay/relay_engine.h"

namespace ibismux::bench {

/// What a run counted, over all daemons.
struct SimCounts {
  std::uint64_t membership_bytes = 0;  ///< Sent, with frame and TCP/IP headers.
  std::uint64_t relay_bytes = 0;
  std::uint64_t release_bytes = 0;  ///< Heads and chunks alone.
  std::uint64_t connects = 0;
  std::uint64_t platform_reads = 0;
  std::uint64_t watchers = 0;
};

/// Daemons that consist of the product's decision classes, in virtual time.
/// Messages are encoded as the product does; only sockets are left out.
class SimFleet {
 public:
  SimFleet(std::size_t daemons, std::size_t zones, std::uint64_t seed);

  /// Makes all know all, in place of a cold start, whose cost grows with the
  /// cube of the fleet here.
  void introduce_all();

  /// Lets virtual time pass.
  void run(std::chrono::milliseconds time);

  /// @name Events
  /// @{
  /// Kills a daemon; those connected to it notice a reset, or nobody does.
  void kill(std::size_t daemon, bool reset);
  /// Starts a daemon anew under the same name.
  void restart(std::size_t daemon);
  /// Says that it leaves; its process ends with the next kill.
  void leave(std::size_t daemon);
  /// Publishes the next generation at a daemon.
  void publish(std::size_t daemon);
  /// @}

  /// @name What can be seen
  /// @{
  [[nodiscard]] bool all_see(std::size_t daemon,
                             membership::Member::State state) const;
  /// Whether all that run see all that run, in their present epochs.
  [[nodiscard]] bool agreed() const;
  [[nodiscard]] bool all_have(Generation generation) const;
  [[nodiscard]] const SimCounts& counts() const noexcept {
    return this->counted;
  }
  [[nodiscard]] TimePoint now() const noexcept { return this->clock; }
  [[nodiscard]] std::size_t running() const;
  [[nodiscard]] Generation newest_generation() const noexcept {
    return this->newest;
  }
  [[nodiscard]] std::uint64_t random(std::uint64_t bound) {
    return this->source() % bound;
  }
  /// @}

  /// Bytes of one release: a head, and the chunk that a change rewrites.
  std::size_t head_bytes = 2000;
  std::size_t chunk_bytes = 4000;

 private:
  struct Daemon {
    std::string name;
    std::string zone;
    std::uint64_t run = 0;  // 0: not running.
    std::unique_ptr<membership::MembershipEngine> members;
    std::unique_ptr<relay::RelayEngine> relay;
    std::uint64_t seen = 0;
    Generation generation = 0;
    std::unordered_map<std::size_t, std::uint64_t> connected;
  };
  struct Event {
    TimePoint when;
    std::uint64_t order;
    std::function<void()> action;
    bool operator>(const Event& other) const {
      return std::tie(this->when, this->order) >
             std::tie(other.when, other.order);
    }
  };

  void boot(std::size_t index);
  void tick(std::size_t index, std::uint64_t run);
  void carry_out(std::size_t index);
  void carry_out_membership(std::size_t index);
  void carry_out_relay(std::size_t index);
  void probe(std::size_t from, const membership::Commands::Probe& command);
  void fetch(std::size_t from, const std::string& peer);
  void apply(std::size_t index, Generation generation, relay::Origin origin);

  void later(Duration delay, std::function<void()> action);
  /// Runs `action` at `to` after the trip, if it still runs then.
  void send(std::size_t from,
            std::size_t to,
            std::size_t payload,
            std::uint64_t& counter,
            std::function<void()> action);
  [[nodiscard]] Duration trip(std::size_t from, std::size_t to) const;
  [[nodiscard]] Incarnation identity(std::size_t index) const;
  /// The index that a member or contact name stands for.
  [[nodiscard]] std::size_t index_of(const std::string& name) const;

  TimePoint clock{std::chrono::hours(1)};
  pcg64 source;
  std::vector<Daemon> daemons;
  std::unordered_map<std::string, std::size_t> indices;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::uint64_t order = 0;
  std::uint64_t runs = 0;
  Generation newest = 0;
  SimCounts counted;
};

}  // namespace ibismux::bench

#endif  // APPS_BENCH_CONTROL_SIM_SIM_FLEET_H_
