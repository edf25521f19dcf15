#ifndef STANDINS_LEAF_LEAF_H_
#define STANDINS_LEAF_LEAF_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "standins/leaf/history.h"
#include "standins/leaf/leaf_config.h"

namespace fake_leaf {

class LeafConnection;

/// What one leaf did since it started.
struct LeafStats {
  std::uint64_t calls = 0;
  std::uint64_t runs = 0;
  std::uint64_t refusals = 0;
  std::uint64_t cancels = 0;
  std::uint64_t deadlines = 0;
  std::uint64_t cut = 0;  ///< Runs whose client was gone at the end.
  std::uint64_t connections_opened = 0;
  std::uint64_t connections_refused = 0;  ///< Beyond the limit.
  std::uint64_t peak_connections = 0;
  std::uint64_t peak_running = 0;
  std::uint64_t peak_queue = 0;
};

/// One call that waits or runs in a leaf.
struct Call {
  std::string id, shard, snapshot, key, body_hash;
  bool reserve = false;
  bool granted = false;  ///< Holds a slot.
  bool cancelled = false;
  Clock::time_point deadline, begin;
  boost::asio::steady_timer* timer = nullptr;  ///< What it waits on.
};

/// One leaf: a port, slots, a first-in first-out queue.
///
/// Everything runs on the one event loop given; not thread safe.
class Leaf {
 public:
  Leaf(std::string name,
       boost::asio::io_context& loop,
       History& history,
       const std::string& address,
       std::uint64_t seed);

  [[nodiscard]] const std::string& leaf_name() const { return this->name; }
  [[nodiscard]] std::uint16_t port() const;
  [[nodiscard]] boost::asio::io_context& event_loop() { return this->loop; }

  /// Accepts connections until the loop stops.
  boost::asio::awaitable<void> accept();

  /// Applies a change of configuration; `"cold": true` starts a cold start now.
  /// @return What is wrong, or empty.
  boost::asio::awaitable<std::string> apply(boost::json::object change);
  boost::asio::awaitable<boost::json::object> report();

  /// @name For the connections
  LeafConfig config;
  LeafStats stats;
  [[nodiscard]] bool holds(std::string_view snapshot) const;
  [[nodiscard]] bool chance(double share);
  [[nodiscard]] Clock::duration service_time();
  [[nodiscard]] std::string health();
  /// Waits for a slot. @return False: there is no room in the queue.
  boost::asio::awaitable<bool> enter(Call& call);
  void leave(Call& call);
  void begin_call(Call& call);
  void end_call(Call& call);
  void cancel(const std::string& id);
  void record(const Call& call, std::string_view done);
  void forget(LeafConnection* connection);

 private:
  [[nodiscard]] std::size_t live_connections() const;

  std::string name;
  boost::asio::io_context& loop;
  History& history;
  boost::asio::ip::tcp::acceptor acceptor;
  pcg64 random;
  Clock::time_point cold_since{};
  std::size_t running = 0;
  std::deque<Call*> waiting;
  std::unordered_map<std::string, Call*> calls;
  std::unordered_set<LeafConnection*> connections;
  std::string health_seen;
  Clock::time_point health_seen_at{};
};

}  // namespace fake_leaf

#endif  // STANDINS_LEAF_LEAF_H_
