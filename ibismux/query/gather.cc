#include "ibismux/query/gather.h"

#include <algorithm>
#include <array>
#include <utility>

#include "ibismux/base/fraction_budget.h"
#include "ibismux/query/leaf_stats.h"
#include "ibismux/query/replica_choice.h"
#include "ibismux/query/service_policy.h"
#include "ibismux/release/release.h"

namespace ibismux::query {

namespace {

using std::chrono::milliseconds;

/// `retry_after` of a failed query if no leaf gave one.
constexpr milliseconds kDefaultRetryAfter{250};
/// Base of the exponential backoff before a replica that has already had a
/// call is retried; doubles with each attempt.
constexpr milliseconds kBaseBackoff{4};
/// Size of the bit set of tried replicas. Replicas beyond it always count as
/// untried.
constexpr std::uint32_t kMaxTrackedReplicas = 64;

/// Whether the same call may succeed on another replica or later.
bool retriable(ErrorKind kind) noexcept {
  switch (kind) {
    case ErrorKind::kOverloaded:
    case ErrorKind::kNotReady:
    case ErrorKind::kLeafUnavailable:
    case ErrorKind::kPeerUnavailable:
    case ErrorKind::kSnapshotGone:
    case ErrorKind::kProtocolError:
    case ErrorKind::kCancelled:
      return true;
    default:
      return false;
  }
}

}  // namespace

Gather::Gather(const GatherPlan& plan, GatherPolicies policies)
    : plan(plan),
      policies(policies),
      random(this->plan.seed),
      merger(this->plan.most_hits),
      retry_after(kDefaultRetryAfter),
      wake(this->plan.deadlines.deadline()) {}

std::uint64_t Gather::ids_needed(const PinnedSnapshot& pin) noexcept {
  return static_cast<std::uint64_t>(pin.snapshot->shards.size()) * kMaxAttempts;
}

void Gather::start(PinnedSnapshot pin,
                   std::uint64_t first_sequence,
                   TimePoint now) {
  if (this->pinned.snapshot != nullptr) {
    this->abandon_all_calls(now);
    ++this->call_counts.restarts;
  }
  const std::size_t total = pin.snapshot->shards.size();
  this->pinned = std::move(pin);
  this->first_sequence = first_sequence;
  this->calls.clear();
  this->calls.reserve(total + total / 8 + 1);
  this->starts.clear();
  this->starts.reserve(total);
  this->shards.assign(total, ShardProgress{});
  this->merger.clear();
  this->leaf_wait = {};
  this->merged = 0;
  this->open = total;
  this->snapshot_gone_shards = 0;
  for (std::uint32_t shard = 0; shard < total; ++shard) {
    if (!this->start_on_untried(shard, now)) {
      this->fail_shard(shard, ErrorKind::kLeafUnavailable);
    }
  }
  this->policies.service.calls_started(this->starts.size());
  this->policies.retries.deposit(this->starts.size(),
                                 this->policies.retry_share);
  this->plan_wake(now);
  this->check_outcome(now);
}

void Gather::on_answer(const gateway::LeafAnswer& answer, TimePoint now) {
  if (this->is_finished) {
    this->call_counts.late += answer.body.has_value() ? 1 : 0;
    return;
  }
  Call* call = this->outstanding_call(answer.id);
  if (call == nullptr) {
    return;
  }
  call->outstanding = false;
  --this->shards[call->shard].outstanding;
  if (answer.body.has_value()) {
    this->on_body(*call, answer, now);
  } else {
    this->on_error(*call, answer.body.error(), now);
  }
  this->check_outcome(now);
}

void Gather::on_cancel(TimePoint now) {
  if (!this->is_finished) {
    this->finish(fail(ErrorKind::kCancelled, "the caller is gone"), now);
  }
}

void Gather::on_stop() {
  if (!this->is_finished) {
    this->check_outcome(this->plan.deadlines.deadline());
  }
}

std::vector<GatherCall> Gather::take_starts() noexcept {
  return std::exchange(this->starts, {});
}

std::vector<std::uint64_t> Gather::take_cancels() noexcept {
  return std::exchange(this->cancels, {});
}

Result<QueryAnswer> Gather::take_result() {
  return std::move(*this->result);
}

void Gather::start_call(std::uint32_t shard,
                        std::uint32_t leaf,
                        TimePoint now) {
  ShardProgress& progress = this->shards[shard];
  ++progress.attempts;
  ++progress.outstanding;
  progress.last_start = now;
  progress.retry_at.reset();
  const auto& replicas = this->shard_view(shard).replicas;
  const auto position = static_cast<std::size_t>(
      std::find(replicas.begin(), replicas.end(), leaf) - replicas.begin());
  if (position < kMaxTrackedReplicas) {
    progress.tried |= std::uint64_t{1} << position;
  }
  this->starts.push_back(
      {this->first_sequence + this->calls.size(), shard, leaf});
  this->calls.push_back({shard, leaf, now, true});
  ++this->call_counts.calls;
  (*this->pinned.leafs)[leaf]->call_started();
}

bool Gather::has_untried(std::uint32_t shard) {
  const auto& replicas = this->shard_view(shard).replicas;
  this->candidates.clear();
  for (std::size_t i = 0; i < replicas.size(); ++i) {
    const bool tried =
        i < kMaxTrackedReplicas && (this->shards[shard].tried >> i & 1) != 0;
    if (!tried && !this->pinned.release->leafs[replicas[i]].leaving) {
      this->candidates.push_back(replicas[i]);
    }
  }
  return !this->candidates.empty();
}

bool Gather::start_on_untried(std::uint32_t shard, TimePoint now) {
  if (!this->has_untried(shard)) {
    return false;
  }
  this->start_call(shard,
                   this->policies.replicas.choose(
                       this->pinned, this->candidates, this->random(), now),
                   now);
  return true;
}

bool Gather::start_on_any(std::uint32_t shard, TimePoint now) {
  if (!this->has_untried(shard)) {
    this->shards[shard].tried = 0;
  }
  return this->start_on_untried(shard, now);
}

void Gather::abandon_call(std::uint64_t offset, TimePoint now) {
  Call& call = this->calls[offset];
  call.outstanding = false;
  --this->shards[call.shard].outstanding;
  this->cancels.push_back(this->first_sequence + offset);
  (*this->pinned.leafs)[call.leaf]->call_abandoned(now - call.started, now);
  this->policies.service.call_abandoned(now - call.started);
}

void Gather::abandon_shard_calls(std::uint32_t shard, TimePoint now) {
  for (std::uint64_t i = 0;
       this->shards[shard].outstanding > 0 && i < this->calls.size(); ++i) {
    if (this->calls[i].outstanding && this->calls[i].shard == shard) {
      this->abandon_call(i, now);
    }
  }
}

void Gather::abandon_all_calls(TimePoint now) {
  for (std::uint64_t i = 0; i < this->calls.size(); ++i) {
    if (this->calls[i].outstanding) {
      this->abandon_call(i, now);
    }
  }
}

Gather::Call* Gather::outstanding_call(const CallId& id) noexcept {
  // A call id below the current range belongs to the snapshot before a restart.
  // Merging its answer would mix two snapshots and return hits that contradict
  // each other. It can't match: the unsigned difference is out of range.
  const std::uint64_t offset = id.sequence - this->first_sequence;
  if (offset >= this->calls.size()) {
    ++this->call_counts.foreign;
    return nullptr;
  }
  if (!this->calls[offset].outstanding) {
    ++this->call_counts.late;
    return nullptr;
  }
  return &this->calls[offset];
}

void Gather::on_body(Call& call,
                     const gateway::LeafAnswer& answer,
                     TimePoint now) {
  this->may_have_run = true;
  const std::uint32_t shard = call.shard;
  if (!this->merger.merge(*answer.body, this->shard_view(shard).name)) {
    ++this->call_counts.malformed;
    this->on_error(
        call, make_error(ErrorKind::kProtocolError, "malformed leaf answer"),
        now);
    return;
  }
  const Duration latency = now - call.started;
  (*this->pinned.leafs)[call.leaf]->call_answered(latency, now);
  this->policies.service.call_answered(latency, answer.queue_time);
  this->leaf_wait.add(answer.queue_time, answer.leaf_time);
  if (this->shards[shard].hedges > 0) {
    this->policies.service.hedge_settled(call.hedge);
  }
  this->snapshot_gone_shards -= this->shards[shard].snapshot_gone ? 1 : 0;
  this->shards[shard].snapshot_gone = false;
  this->shards[shard].state = ShardState::kMerged;
  ++this->merged;
  --this->open;
  this->abandon_shard_calls(shard, now);
}

void Gather::on_error(Call& call, const Error& error, TimePoint now) {
  const std::uint32_t shard = call.shard;
  this->may_have_run |= error.execution != Execution::kNotRun;
  if (error.retry_after.has_value()) {
    this->retry_after = std::max(this->retry_after, *error.retry_after);
  }
  LeafStats& leaf = *(*this->pinned.leafs)[call.leaf];
  if (error.kind == ErrorKind::kSnapshotGone) {
    leaf.call_abandoned(Duration::zero(), now);
  } else {
    leaf.call_failed(now);
    this->policies.service.call_failed();
  }
  if (this->shards[shard].state == ShardState::kOpen &&
      this->shards[shard].outstanding == 0) {
    this->on_last_call_failed(shard, error, now);
    this->plan_wake(now);
  }
}

void Gather::on_last_call_failed(std::uint32_t shard,
                                 const Error& error,
                                 TimePoint now) {
  ShardProgress& progress = this->shards[shard];
  progress.reason = error.kind;
  const bool untried = this->has_untried(shard);
  if (error.kind == ErrorKind::kSnapshotGone && !untried) {
    this->mark_snapshot_gone(shard, now);
    return;
  }
  if (!retriable(error.kind) || progress.attempts >= kMaxAttempts) {
    this->fail_shard(shard, error.kind);
    return;
  }
  const Duration backoff =
      untried ? Duration::zero()
              : std::max<Duration>(error.retry_after.value_or(kBaseBackoff),
                                   kBaseBackoff * (1 << progress.attempts));
  if (now + backoff >= this->plan.deadlines.deadline()) {
    this->fail_shard(shard, error.kind);
    return;
  }
  progress.retry_at = now + backoff;
  if (untried) {
    this->start_due_retries(now);
  }
}

void Gather::mark_snapshot_gone(std::uint32_t shard, TimePoint now) {
  this->shards[shard].snapshot_gone = true;
  this->shards[shard].retry_at.reset();
  if (this->snapshot_gone_shards++ == 0) {
    this->snapshot_gone_since = now;
  }
  this->fail_gone_if_too_late(now);
}

void Gather::fail_shard(std::uint32_t shard, ErrorKind reason) {
  this->shards[shard].state = ShardState::kFailed;
  this->shards[shard].reason = reason;
  --this->open;
}

void Gather::finish(Result<QueryAnswer> outcome, TimePoint now) {
  this->is_finished = true;
  this->result = std::move(outcome);
  this->starts.clear();
  this->abandon_all_calls(now);
}

QueryAnswer Gather::answer() {
  QueryAnswer answer;
  answer.snapshot = this->pinned.snapshot->name;
  answer.hits = this->merger.take();
  answer.coverage.total = this->shards.size();
  answer.coverage.contributed.reserve(this->merged);
  for (std::uint32_t shard = 0; shard < this->shards.size(); ++shard) {
    const ShardProgress& progress = this->shards[shard];
    const std::string& name = this->shard_view(shard).name;
    if (progress.state == ShardState::kMerged) {
      answer.coverage.contributed.push_back(name);
    } else {
      answer.coverage.missing.push_back({name, progress.reason});
    }
  }
  answer.leaf_calls = this->call_counts.calls;
  answer.hedges = this->call_counts.hedges;
  answer.retries = this->call_counts.retries;
  answer.restarts = this->call_counts.restarts;
  answer.leaf_wait = this->leaf_wait;
  return answer;
}

std::string Gather::missing_by_reason() const {
  std::array<std::size_t, kErrorKinds> counts{};
  for (const ShardProgress& progress : this->shards) {
    if (progress.state == ShardState::kFailed) {
      ++counts[static_cast<std::size_t>(progress.reason)];
    }
  }
  std::string words;
  for (std::size_t i = 0; i < counts.size(); ++i) {
    if (counts[i] > 0) {
      words += ", " + std::to_string(counts[i]) + " " +
               std::string(error_entry(static_cast<ErrorKind>(i)).name);
    }
  }
  return words;
}

Error Gather::failure(TimePoint now) const {
  std::size_t overloaded = 0;
  std::size_t outstanding = 0;
  for (const ShardProgress& progress : this->shards) {
    overloaded += progress.state == ShardState::kFailed &&
                          progress.reason == ErrorKind::kOverloaded
                      ? 1
                      : 0;
    outstanding += progress.outstanding;
  }
  const std::size_t missing = this->shards.size() - this->merged;
  ErrorKind kind = ErrorKind::kCoverageTooLow;
  if (overloaded == missing) {
    kind = ErrorKind::kOverloaded;
  } else if (now >= this->plan.deadlines.deadline()) {
    kind = ErrorKind::kDeadlineExceeded;
  }
  Error error =
      make_error(kind, std::to_string(this->merged) + " of " +
                           std::to_string(this->shards.size()) +
                           " shards answered" + this->missing_by_reason());
  error.execution = this->may_have_run || outstanding > 0 ? Execution::kUnknown
                                                          : Execution::kNotRun;
  error.retry_after = this->retry_after;
  return error;
}

const release::ShardView& Gather::shard_view(
    std::uint32_t shard) const noexcept {
  return this->pinned.snapshot->shards[shard];
}

}  // namespace ibismux::query
