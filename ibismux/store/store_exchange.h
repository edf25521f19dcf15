#ifndef IBISMUX_STORE_STORE_EXCHANGE_H_
#define IBISMUX_STORE_STORE_EXCHANGE_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <pcg_random.hpp>

#include "ibismux/base/forward.h"
#include "ibismux/base/task.h"
#include "ibismux/base/time.h"
#include "ibismux/http/client_pool.h"
#include "ibismux/http/message.h"
#include "ibismux/store/call_budget.h"
#include "ibismux/store/call_metrics.h"
#include "ibismux/store/call_outcome.h"
#include "ibismux/store/platform_health.h"
#include "ibismux/store/platform_settings.h"
#include "ibismux/store/store_dialect.h"

namespace prometheus {
class Registry;
}

namespace ibismux::store {

/// An answer of the platform with status 200 or 410.
struct StoreAnswer {
  http::Response response;
  std::uint64_t era = 0;  ///< Of the versions in it.
};

/// One call to the platform after the other: over which connection, whether the
/// budget and the platform's health let it be sent, and what became of it.
///
/// Belongs to the pool's first loop, to which each call goes; its answer comes
/// back to the caller's executor. Thread safe.
class StoreExchange {
 public:
  using Self = std::shared_ptr<StoreExchange>;

  /// @param pool, registry Outlive every call.
  /// @param seed Of the jitter; differs from daemon to daemon.
  StoreExchange(IoPool& pool,
                PlatformSettings settings,
                std::shared_ptr<const StoreDialect> dialect,
                prometheus::Registry& registry,
                std::uint64_t seed);

  /// @name Calls. Errors: see `ObjectStore`.
  /// @{

  /// One that isn't a watch, within the longest time for one.
  [[nodiscard]] static Task<Result<StoreAnswer>> timed_call(
      Self self,
      CallKind kind,
      http::Request request,
      TimePoint deadline);
  /// One that is answered within `wait` and what an answer takes.
  [[nodiscard]] static Task<Result<StoreAnswer>>
  watch(Self self, http::Request request, std::chrono::milliseconds wait);
  /// @}

  /// What the last calls say about the platform.
  [[nodiscard]] PlatformState state() const noexcept {
    return this->last_state.load(std::memory_order_relaxed);
  }
  /// Whether the store was restored since it gave out `version`, as far as is
  /// known.
  [[nodiscard]] bool is_of_earlier_era(Version version) const noexcept;

  /// How many daemons share the platform's rates now.
  static void set_members(const Self& self, std::size_t members);

 private:
  [[nodiscard]] static Task<Result<StoreAnswer>> call(Self self,
                                                      CallKind kind,
                                                      http::Request request,
                                                      TimePoint deadline);
  [[nodiscard]] static Task<Result<StoreAnswer>> exchange(Self self,
                                                          CallKind kind,
                                                          http::Request request,
                                                          TimePoint deadline);
  [[nodiscard]] Result<void> admit(CallKind kind, TimePoint now);
  /// The era of an answer; one whose era can't be read is no answer.
  [[nodiscard]] std::uint64_t read_era(const http::Response& response,
                                       CallOutcome& outcome);
  void conclude(CallKind kind,
                const CallOutcome& outcome,
                TimePoint begin,
                TimePoint now);
  void count_waiting(CallKind kind, int change);
  [[nodiscard]] double jitter();

  boost::asio::io_context& loop;
  const PlatformSettings settings;
  const std::shared_ptr<const StoreDialect> dialect;
  std::atomic<PlatformState> last_state{PlatformState::kUp};
  std::atomic<std::uint64_t> newest_era{0};
  http::ClientPool client;
  CallBudget budget;
  PlatformHealth health;
  CallMetrics metrics;
  pcg32 random;
};

}  // namespace ibismux::store

#endif  // IBISMUX_STORE_STORE_EXCHANGE_H_
