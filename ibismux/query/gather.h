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
#include "ibismux/query/pin.h"
#include "ibismux/query/query_answer.h"

namespace ibismux::query {

/// One query from its first call to its answer, without sockets or clock.
///
/// Its owner feeds it answers and time, and after each input performs what
/// `take_starts` and `take_cancels` give, until `finished`.
///
/// Not thread safe; belongs to one event loop.
class Gather {
 public:
  /// How many calls a shard may get, first, hedge and retries together.
  static constexpr std::uint32_t kMostAttempts = 4;

  Gather(const GatherPlan& plan, GatherPolicies policies);

  /// How many call ids a query of `pin` may need.
  [[nodiscard]] static std::uint64_t ids_needed(const Pin& pin) noexcept;

  /// @name Inputs
  /// @{

  /// Scatters over the shards of `pin`. Called once, or a second time to
  /// restart on a newer snapshot: then every call of the older one is given up
  /// and nothing of it stays.
  /// @param first_sequence First of `ids_needed(pin)` call ids of its own.
  void start(Pin pin, std::uint64_t first_sequence, TimePoint now);

  /// A call ended. `answer` is merged only if it answers a call that is still
  /// wanted, which binds it to the pinned snapshot.
  void on_answer(const gateway::LeafAnswer& answer, TimePoint now);

  /// An answer came that bears another daemon's call id.
  void on_foreign() noexcept { ++this->tally.foreign; }

  /// `next_wake()` has passed.
  void on_time(TimePoint now);

  /// The caller is gone.
  void on_cancel(TimePoint now);

  /// @}
  /// @name What the owner has to do
  /// @{
  [[nodiscard]] std::vector<GatherCall> take_starts() noexcept;
  [[nodiscard]] std::vector<std::uint64_t> take_cancels() noexcept;
  [[nodiscard]] TimePoint next_wake() const noexcept { return this->wake; }
  /// Whether shards have lost the pinned snapshot and a restart on a newer one
  /// would still end in time. The owner looks for one now and at each wake.
  [[nodiscard]] bool wants_restart(TimePoint now) const noexcept;
  /// @}

  /// @name Result
  /// @{
  [[nodiscard]] bool finished() const noexcept { return this->is_finished; }
  /// Precondition: finished, and not taken before.
  [[nodiscard]] Result<QueryAnswer> take_result();
  [[nodiscard]] const GatherCounts& counts() const noexcept {
    return this->tally;
  }
  [[nodiscard]] const Pin& pin() const noexcept { return this->pinned; }
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
    std::uint64_t tried = 0;  ///< Bit i: replica i has had a call.
    TimePoint last_start{};
    std::optional<TimePoint> retry_at;
  };

  /// @name Calls
  /// @{
  void start_call(std::uint32_t shard, std::uint32_t leaf, TimePoint now);
  /// Calls a replica that has had no call yet. @return False if none is left.
  bool start_on_untried(std::uint32_t shard, TimePoint now);
  /// The same, but begins anew with all of them once each has had one.
  bool start_on_any(std::uint32_t shard, TimePoint now);
  [[nodiscard]] bool has_untried(std::uint32_t shard);
  void give_up(std::uint64_t offset, TimePoint now);
  void give_up_shard(std::uint32_t shard, TimePoint now);
  void give_up_all(TimePoint now);
  /// @}

  /// @name Answers
  /// @{
  Call* outstanding_call(const CallId& id) noexcept;
  void on_body(Call& call, const gateway::LeafAnswer& answer, TimePoint now);
  void on_error(Call& call, const Error& error, TimePoint now);
  /// The last call of an open shard has failed.
  void on_shard_out(std::uint32_t shard, const Error& error, TimePoint now);
  /// No replica of an open shard holds the pinned snapshot. It stays open: a
  /// restart on a newer one may still succeed.
  void lose_snapshot(std::uint32_t shard, TimePoint now);
  void fail_shard(std::uint32_t shard, ErrorKind reason);
  void settle_gone(TimePoint now);
  /// @}

  /// @name Time
  /// @{
  void hedge(TimePoint now);
  void retry_due(TimePoint now);
  [[nodiscard]] bool may_hedge(const ShardProgress& progress) const noexcept;
  /// When an open shard is worth its next hedge.
  [[nodiscard]] static TimePoint hedge_at(const ShardProgress& progress,
                                          Duration delay) noexcept;
  [[nodiscard]] bool restart_in_time(TimePoint now) const noexcept;
  void plan_wake(TimePoint now);
  void judge(TimePoint now);
  void finish(Result<QueryAnswer> outcome, TimePoint now);
  /// @}

  [[nodiscard]] QueryAnswer answer();
  [[nodiscard]] Error failure(TimePoint now) const;
  /// Missing shards by reason, in words: "2 peer_unavailable".
  [[nodiscard]] std::string missing_in_words() const;
  [[nodiscard]] const release::ShardView& shard_view(
      std::uint32_t shard) const noexcept;

  GatherPlan plan;
  GatherPolicies policies;
  pcg64 random;
  Pin pinned;
  std::uint64_t first_sequence = 0;
  std::vector<Call> calls;  ///< At their sequence less `first_sequence`.
  std::vector<ShardProgress> shards;
  std::vector<std::uint32_t> candidates;  ///< Scratch of a choice.
  HitMerger merger;
  LeafWait leaf_wait;
  std::size_t merged = 0;
  std::size_t open = 0;
  std::size_t gone = 0;  ///< Open shards without the pinned snapshot.
  TimePoint gone_since;
  bool maybe_run = false;  ///< Some leaf may have run a part of the query.
  std::chrono::milliseconds retry_after;
  std::vector<GatherCall> starts;
  std::vector<std::uint64_t> cancels;
  TimePoint wake;
  GatherCounts tally;
  bool is_finished = false;
  std::optional<Result<QueryAnswer>> result;
};

}  // namespace ibismux::query

#endif  // IBISMUX_QUERY_GATHER_H_
