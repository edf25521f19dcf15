#ifndef TESTS_RESERVATION_FLEET_H_
#define TESTS_RESERVATION_FLEET_H_

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "ibismux/base/io_pool.h"
#include "ibismux/membership/membership_view.h"
#include "ibismux/release/release.h"
#include "ibismux/reservation/reservation_engine.h"
#include "tests/support/fake_leaf_caller.h"
#include "tests/support/fake_peer_network.h"
#include "tests/support/memory_object_store.h"

namespace ibismux::reservation {

/// A release with one service "spares" of two shards, two leafs each.
[[nodiscard]] std::shared_ptr<release::Release> spares_release();

/// Several reservation engines over one platform in memory, on the test's own
/// thread: time passes only inside `wait()`.
class Fleet {
 public:
  using Outcome = std::shared_ptr<std::optional<Result<ReservationAnswer>>>;

  explicit Fleet(std::size_t daemons, ReservationSettings settings = quick());
  ~Fleet();

  /// @name Asking daemon number `daemon`; the outcome fills in during wait()
  /// @{
  Outcome reserve(std::size_t daemon,
                  std::string key,
                  std::string body,
                  std::chrono::milliseconds deadline = kPatience);
  Outcome ask(std::size_t daemon, std::string key);
  /// @}

  /// Runs the loop until `done` holds; false where a generous limit passed.
  bool wait(const std::function<bool()>& done);
  /// Waits for one outcome and gives it.
  Result<ReservationAnswer> get(const Outcome& outcome);
  Result<ReservationAnswer> reserve_now(std::size_t daemon,
                                        std::string key,
                                        std::string body) {
    return this->get(this->reserve(daemon, std::move(key), std::move(body)));
  }
  Result<ReservationAnswer> ask_now(std::size_t daemon, std::string key) {
    return this->get(this->ask(daemon, std::move(key)));
  }

  /// @name Faults
  /// @{
  /// Nothing of the daemon runs until it is thawed, as under SIGSTOP.
  void freeze(std::size_t daemon);
  void thaw(std::size_t daemon);
  /// The daemon dies; nothing of it runs again. Others see it as failed.
  void kill(std::size_t daemon);
  /// The daemon dies and comes back as a new incarnation, and nobody hears.
  void replace_unseen(std::size_t daemon);
  /// A killed daemon comes back as a new incarnation.
  void restart(std::size_t daemon);
  /// What `viewer` believes of `member`.
  void believe(std::size_t viewer,
               std::size_t member,
               membership::Member::State state);
  /// @}

  /// The daemon that commits the claims of `key`.
  [[nodiscard]] std::size_t owner_of(const std::string& key) const;
  [[nodiscard]] bool alive(std::size_t daemon) const;
  [[nodiscard]] std::size_t size() const { return this->daemons.size(); }
  [[nodiscard]] std::string name(std::size_t daemon) const;
  [[nodiscard]] ReservationEngine& engine(std::size_t daemon);

  static constexpr std::chrono::milliseconds kPatience{2000};

  /// Settings under which a test need not wait for a group to fill.
  [[nodiscard]] static ReservationSettings quick();

  testing::MemoryObjectStore store;
  testing::FakeLeafCaller leafs;
  tests::FakePeerCluster peers;
  RcuCell<release::Release> releases;

 private:
  struct Daemon;

  void start(std::size_t daemon);
  void publish(std::size_t viewer);

  const ReservationSettings settings;
  std::uint64_t next_incarnation = 1;
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::vector<std::unique_ptr<Daemon>> dead;
};

}  // namespace ibismux::reservation

#endif  // TESTS_RESERVATION_FLEET_H_
