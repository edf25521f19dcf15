#ifndef IBISMUX_QUERY_GATHER_H_
#define IBISMUX_QUERY_GATHER_H_

#include <cstdint>
#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/gateway/leaf_call.h"
#include "ibismux/query/gather_plan.h"
#include "ibismux/query/hit_merger.h"
#include "ibismux/query/pinned_snapshot.h"
#include "ibismux/query/query_answer.h"

namespace ibismux::query {

/// State machine of one query from its first call to its answer. It uses no
/// sockets and no clock.
///
/// The owner passes in answers and the time. After each input it starts the
/// calls from `take_starts` and cancels those from `take_cancels`, until
/// `finished` returns true.
///
/// Not thread safe; belongs to one event loop.
class Gather {
 public:
  /// The most calls to one shard, including the first call, hedges and retries.
  static constexpr std::uint32_t kMaxAttempts = 4;

  Gather(const GatherPlan& plan, GatherPolicies policies);

  /// The most call ids that a query of `pin` needs.
  [[nodiscard]] static std::uint64_t ids_needed(
      const PinnedSnapshot& pin) noexcept;

  /// @name Inputs
  /// @{

  /// Starts a call to each shard of `pin`. Called once, or a second time to
  /// restart on a newer snapshot: then all calls for the older snapshot are
  /// abandoned and its hits are discarded.
  /// @param first_sequence First of `ids_needed(pin)` consecutive call ids that
  /// are reserved for this start.
  void start(PinnedSnapshot pin, std::uint64_t first_sequence, TimePoint now);

  /// A call ended. `answer` is merged only if its call is still outstanding,
  /// which guarantees that it belongs to the pinned snapshot.
  void on_answer(const gateway::LeafAnswer& answer, TimePoint now);

  /// An answer arrived with a call id of another daemon.
  void on_foreign_answer() noexcept { ++this->call_counts.foreign; }

  /// Starts due retries and hedges and checks the deadlines. Called when
  /// `next_wake()` has passed.
  void on_timer(TimePoint now);

  /// The caller no longer waits for the answer. Ends the query with kCancelled.
  void on_cancel(TimePoint now);

  /// The daemon stops. Ends the query as at its deadline, with what it has.
  void on_stop();

  /// @}
  /// @name Actions for the owner
  /// @{
  [[nodiscard]] std::vector<GatherCall> take_starts() noexcept;
  [[nodiscard]] std::vector<std::uint64_t> take_cancels() noexcept;
  [[nodiscard]] TimePoint next_wake() const noexcept { return this->wake; }
  /// Whether shards no longer hold the pinned snapshot and a restart on a newer
  /// one would still end in time. While this is true, the owner looks for a
  /// newer snapshot after each answer and each wake-up.
  [[nodiscard]] bool wants_restart(TimePoint now) const noexcept;
  /// @}

  /// @name Result
  /// @{
  [[nodiscard]] bool finished() const noexcept { return this->is_finished; }
  /// Precondition: finished, and not called before.
  [[nodiscard]] Result<QueryAnswer> take_result();
  [[nodiscard]] const GatherCounts& counts() const noexcept {
    return this->call_counts;
  }
  [[nodiscard]] const PinnedSnapshot& pin() const noexcept {
    return this->pinned;
  }
  /// @}

 private:
  enum class ShardState : unsigned char { kOpen, kMerged, kFailed };

  struct Call {
    std::uint32_t shard = 0;
    std::uint32_t leaf = 0;
    TimePoint started;
    bool outstanding = true;
    bool hedge = false;
  };

  struct ShardProgress {
    ShardState state = ShardState::kOpen;
    ErrorKind reason = ErrorKind::kDeadlineExceeded;
    std::uint8_t attempts = 0;
    std::uint8_t outstanding = 0;
    std::uint8_t hedges = 0;
    bool snapshot_gone = false;
    std::uint64_t tried = 0;  ///< Bit i is set once replica i got a call.
    TimePoint last_start{};
    std::optional<TimePoint> retry_at;
  };

  /// @name Calls
  /// @{
  void start_call(std::uint32_t shard, std::uint32_t leaf, TimePoint now);
  /// Starts a call to a replica that has had none yet. @return False if there
  /// is no such replica.
  bool start_on_untried(std::uint32_t shard, TimePoint now);
  /// As `start_on_untried`, but once all replicas have had a call, they all
  /// become candidates again.
  bool start_on_any(std::uint32_t shard, TimePoint now);
  [[nodiscard]] bool has_untried(std::uint32_t shard);
  void abandon_call(std::uint64_t offset, TimePoint now);
  void abandon_shard_calls(std::uint32_t shard, TimePoint now);
  void abandon_all_calls(TimePoint now);
  /// @}

  /// @name Answers
  /// @{
  Call* outstanding_call(const CallId& id) noexcept;
  void on_body(Call& call, const gateway::LeafAnswer& answer, TimePoint now);
  void on_error(Call& call, const Error& error, TimePoint now);
  /// The last outstanding call of an open shard has failed: schedules a retry,
  /// marks the snapshot as gone or fails the shard.
  void on_last_call_failed(std::uint32_t shard,
                           const Error& error,
                           TimePoint now);
  /// No replica of an open shard holds the pinned snapshot. The shard stays
  /// open, since a restart on a newer snapshot may still succeed.
  void mark_snapshot_gone(std::uint32_t shard, TimePoint now);
  void fail_shard(std::uint32_t shard, ErrorKind reason);
  /// Fails the shards without the pinned snapshot once a restart would be too
  /// late.
  void fail_gone_if_too_late(TimePoint now);
  /// @}

  /// @name Time
  /// @{
  void start_due_hedges(TimePoint now);
  void start_due_retries(TimePoint now);
  [[nodiscard]] bool may_hedge(const ShardProgress& progress) const noexcept;
  /// When the next hedge of an open shard is due.
  [[nodiscard]] static TimePoint hedge_at(const ShardProgress& progress,
                                          Duration delay) noexcept;
  [[nodiscard]] bool restart_in_time(TimePoint now) const noexcept;
  void plan_wake(TimePoint now);
  void check_outcome(TimePoint now);
  void finish(Result<QueryAnswer> outcome, TimePoint now);
  /// @}

  [[nodiscard]] QueryAnswer answer();
  [[nodiscard]] Error failure(TimePoint now) const;
  /// The number of failed shards by reason, such as ", 2 peer_unavailable".
  [[nodiscard]] std::string missing_by_reason() const;
  [[nodiscard]] const release::ShardView& shard_view(
      std::uint32_t shard) const noexcept;

  GatherPlan plan;
  GatherPolicies policies;
  pcg64 random;
  PinnedSnapshot pinned;
  std::uint64_t first_sequence = 0;
  std::vector<Call> calls;  ///< Indexed by sequence - `first_sequence`.
  std::vector<ShardProgress> shards;
  std::vector<std::uint32_t> candidates;  ///< Buffer for replica choices.
  HitMerger merger;
  LeafWait leaf_wait;
  std::size_t merged = 0;
  std::size_t open = 0;
  /// Number of open shards without the pinned snapshot.
  std::size_t snapshot_gone_shards = 0;
  TimePoint snapshot_gone_since;
  bool may_have_run = false;  ///< A leaf may have run a part of the query.
  std::chrono::milliseconds retry_after;
  std::vector<GatherCall> starts;
  std::vector<std::uint64_t> cancels;
  TimePoint wake;
  GatherCounts call_counts;
  bool is_finished = false;
  std::optional<Result<QueryAnswer>> result;
};

}  // namespace ibismux::query

#endif  // IBISMUX_QUERY_GATHER_H_
