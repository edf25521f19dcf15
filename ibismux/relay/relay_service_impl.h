#ifndef IBISMUX_RELAY_RELAY_SERVICE_IMPL_H_
#define IBISMUX_RELAY_RELAY_SERVICE_IMPL_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/value.hpp>
#include <memory>
#include <string>
#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/base/io_pool.h"
#include "ibismux/base/task.h"
#include "ibismux/peer/peer_network.h"
#include "ibismux/relay/in_force_aggregator.h"
#include "ibismux/relay/relay_engine.h"
#include "ibismux/relay/relay_metrics.h"
#include "ibismux/relay/relay_service.h"
#include "ibismux/relay/release_fetcher.h"
#include "ibismux/relay/release_watch.h"
#include "ibismux/release/release_store.h"

namespace ibismux::relay {

/// All state except `aggregator`, `rank`, `age_ms` and members that are thread
/// safe themselves must be used only on the pool's first loop.
class RelayService::Impl
    : public std::enable_shared_from_this<RelayService::Impl> {
 public:
  Impl(RelaySettings settings,
       IoPool& pool,
       peer::PeerNetwork& network,
       store::ObjectStore& platform,
       release::ReleaseStore& releases,
       const RcuCell<membership::MembershipView>& view,
       prometheus::Registry& registry,
       release::WorkLoop work);

  void register_handlers();
  void start();
  void stop();
  void on_applied(Generation generation);

  [[nodiscard]] InForceCount in_force(Generation generation) const;
  [[nodiscard]] boost::json::value status() const;

  std::atomic<std::size_t> rank{0};

 private:
  using Self = std::shared_ptr<Impl>;

  static Task<void> run(Self self);
  static Task<void> fetch(Self self, std::string peer);
  static Task<void> handle_push(Self self, std::string peer, PushMessage push);
  static Task<void> read_platform(Self self);
  static Task<void> send_report(Self self, std::string parent);
  static Task<void> poll_zones(Self self);
  static Task<Result<std::string>> handle_report(Self self,
                                                 Incarnation from,
                                                 std::string payload);
  static Task<Result<std::string>> answer_fetch(Self self, std::string payload);
  static Task<Result<std::string>> run_on_loop(Self self,
                                               Task<Result<std::string>> work);

  void apply_view();
  void on_watch_result(const Result<void>& result);
  void execute_commands();
  void push(const std::vector<std::string>& peers);
  void record_failure(const Error& error, const char* source);

  const RelaySettings settings;
  boost::asio::io_context& loop;
  peer::PeerNetwork& network;
  release::ReleaseStore& releases;
  const RcuCell<membership::MembershipView>& view;
  RelayMetrics metrics;
  ReleaseFetcher fetcher;
  RelayEngine engine;
  std::shared_ptr<ReleaseWatch> watch;
  boost::asio::steady_timer tick_timer;
  mutable InForceAggregator aggregator;
  std::atomic<std::int64_t> age_ms{0};
  std::uint64_t seen_revision = 0;
  bool polling = false;
  TimePoint next_poll{};
  bool stopped = false;
};

}  // namespace ibismux::relay

#endif  // IBISMUX_RELAY_RELAY_SERVICE_IMPL_H_
