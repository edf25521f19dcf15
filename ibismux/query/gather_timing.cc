// The time-dependent part of `Gather`: due retries, hedges, restarts, and the
// end of the query at `answer_by` or the deadline.

#include <algorithm>
#include <utility>

#include "ibismux/base/fraction_budget.h"
#include "ibismux/query/gather.h"
#include "ibismux/query/service_policy.h"

namespace ibismux::query {

namespace {

using std::chrono::milliseconds;

/// Interval of the checks for a newer release while shards lack the pinned
/// snapshot.
constexpr milliseconds kReleasePollInterval{10};
/// Shortest interval between two attempts to start a hedge.
constexpr milliseconds kHedgePollInterval{1};
/// How long a query waits for a newer snapshot if the pinned one already gives
/// the minimum coverage. Without this limit, a leaf that has lost its index
/// would delay every query until its deadline.
constexpr milliseconds kMaxNewerSnapshotWait{50};
/// Assumed duration of a restart while the latency of the service is unknown.
constexpr milliseconds kDefaultRestartTime{10};
/// The most hedges of one shard. If there is no third replica, the second hedge
/// goes to a replica that already has a call: one call may be slow although the
/// leaf as a whole is not.
constexpr std::uint8_t kMaxHedgesPerShard = 2;

}  // namespace

void Gather::on_timer(TimePoint now) {
  if (this->is_finished) {
    return;
  }
  this->start_due_retries(now);
  this->fail_gone_if_too_late(now);
  this->start_due_hedges(now);
  this->plan_wake(now);
  this->check_outcome(now);
}

bool Gather::wants_restart(TimePoint now) const noexcept {
  return !this->is_finished && this->snapshot_gone_shards > 0 &&
         this->restart_in_time(now);
}

bool Gather::restart_in_time(TimePoint now) const noexcept {
  if (this->call_counts.restarts > 0) {
    return false;
  }
  const std::size_t total = this->shards.size();
  const std::size_t reachable =
      this->merged + this->open - this->snapshot_gone_shards;
  if (this->plan.deadlines.reaches_min_coverage(reachable, total) &&
      now >= this->snapshot_gone_since + kMaxNewerSnapshotWait) {
    return false;
  }
  const Duration needed =
      this->policies.service.hedge_delay().value_or(kDefaultRestartTime);
  return now + needed < this->plan.deadlines.restart_limit(reachable, total);
}

void Gather::fail_gone_if_too_late(TimePoint now) {
  if (this->snapshot_gone_shards == 0 || this->restart_in_time(now)) {
    return;
  }
  for (std::uint32_t shard = 0; shard < this->shards.size(); ++shard) {
    if (std::exchange(this->shards[shard].snapshot_gone, false)) {
      this->fail_shard(shard, ErrorKind::kSnapshotGone);
    }
  }
  this->snapshot_gone_shards = 0;
}

void Gather::start_due_retries(TimePoint now) {
  for (std::uint32_t shard = 0; shard < this->shards.size(); ++shard) {
    ShardProgress& progress = this->shards[shard];
    if (!progress.retry_at.has_value() || *progress.retry_at > now ||
        progress.state != ShardState::kOpen) {
      continue;
    }
    if (this->policies.retries.take()) {
      ++this->call_counts.retries;
      if (this->start_on_any(shard, now)) {
        continue;
      }
    } else {
      ++this->call_counts.retries_refused;
    }
    if (progress.reason == ErrorKind::kSnapshotGone) {
      this->mark_snapshot_gone(shard, now);
    } else {
      this->fail_shard(shard, progress.reason);
    }
  }
}

bool Gather::may_hedge(const ShardProgress& progress) const noexcept {
  return progress.state == ShardState::kOpen && progress.outstanding > 0 &&
         progress.hedges < kMaxHedgesPerShard &&
         progress.attempts < kMaxAttempts;
}

TimePoint Gather::hedge_at(const ShardProgress& progress,
                           Duration delay) noexcept {
  return progress.last_start + delay * (1 + progress.hedges);
}

void Gather::start_due_hedges(TimePoint now) {
  const std::optional<Duration> delay = this->policies.service.hedge_delay();
  if (!delay.has_value()) {
    return;
  }
  for (std::uint32_t shard = 0; shard < this->shards.size(); ++shard) {
    ShardProgress& progress = this->shards[shard];
    if (!this->may_hedge(progress) || this->hedge_at(progress, *delay) > now) {
      continue;
    }
    if (!this->policies.service.take_hedge()) {
      return;
    }
    ++progress.hedges;
    if (this->start_on_any(shard, now)) {
      this->calls.back().hedge = true;
      ++this->call_counts.hedges;
    }
  }
}

void Gather::plan_wake(TimePoint now) {
  const std::optional<Duration> delay = this->policies.service.hedge_delay();
  TimePoint next = this->plan.deadlines.next_change(now);
  for (std::uint32_t shard = 0; shard < this->shards.size(); ++shard) {
    const ShardProgress& progress = this->shards[shard];
    if (progress.state == ShardState::kOpen && progress.retry_at.has_value()) {
      next = std::min(next, *progress.retry_at);
    }
    if (delay.has_value() && this->may_hedge(progress)) {
      next =
          std::min(next, std::max<TimePoint>(this->hedge_at(progress, *delay),
                                             now + kHedgePollInterval));
    }
  }
  if (this->snapshot_gone_shards > 0) {
    next = std::min<TimePoint>(next, now + kReleasePollInterval);
  }
  this->wake = next;
}

void Gather::check_outcome(TimePoint now) {
  switch (this->plan.deadlines.decide(now, this->merged, this->open,
                                      this->shards.size())) {
    case DeadlinePolicy::Decision::kWait:
      return;
    case DeadlinePolicy::Decision::kAnswer:
      this->finish(this->answer(), now);
      return;
    case DeadlinePolicy::Decision::kFail:
      this->finish(tl::unexpected<Error>(this->failure(now)), now);
      return;
  }
}

}  // namespace ibismux::query
