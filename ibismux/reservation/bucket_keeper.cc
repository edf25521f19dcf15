#include "ibismux/reservation/bucket_keeper.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>
#include <utility>

#include "ibismux/base/unix_time.h"
#include "ibismux/reservation/random_source.h"
#include "ibismux/reservation/reservation_metrics.h"
#include "ibismux/store/object_store.h"

namespace ibismux::reservation {

namespace asio = boost::asio;

namespace {

/// A slow platform call is given up after this.
constexpr std::chrono::seconds kStepTimeout{2};
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

std::chrono::seconds wall_seconds() {
  return std::chrono::duration_cast<std::chrono::seconds>(unix_now());
}

CommitOutcome outcome_of(const Result<store::Version>& version) {
  if (version) {
    return CommitOutcome::kWritten;
  }
  return version.error().kind == ErrorKind::kConflict ? CommitOutcome::kConflict
                                                      : CommitOutcome::kFailed;
}

}  // namespace

/// One operation whose submitter waits.
struct BucketKeeper::Pending {
  Pending(const asio::any_io_executor& loop, TimePoint deadline)
      : arrived(loop, deadline) {}

  std::optional<Result<Verdict>> verdict;
  asio::steady_timer arrived;  ///< Cancelled when `verdict` is set.
};

BucketKeeper::BucketKeeper(std::uint32_t bucket,
                           ReservationSettings settings,
                           asio::any_io_executor loop,
                           store::ObjectStore& store,
                           ReservationMetrics& metrics)
    : loop(std::move(loop)),
      store(store),
      metrics(metrics),
      writer(bucket, settings),
      timer(this->loop) {}

Task<Result<Verdict>> BucketKeeper::commit(BucketOperation operation,
                                           TimePoint deadline) {
  const auto self = this->shared_from_this();
  auto task = self->commit_here(std::move(operation), deadline);
  Result<Verdict> verdict =
      co_await asio::co_spawn(this->loop, std::move(task), asio::use_awaitable);
  co_return verdict;
}

Task<Result<Verdict>> BucketKeeper::commit_here(BucketOperation operation,
                                                TimePoint deadline) {
  const auto self = this->shared_from_this();
  const std::uint64_t ticket =
      this->writer.submit(std::move(operation), Clock::now(), deadline);
  const auto waiting = std::make_shared<Pending>(this->loop, deadline);
  this->pending[ticket] = waiting;
  this->deliver();
  this->wake();
  while (!waiting->verdict && Clock::now() < deadline) {
    co_await waiting->arrived.async_wait(kAwait);
  }
  this->pending.erase(ticket);
  if (!waiting->verdict) {
    co_return fail(ErrorKind::kDeadlineExceeded,
                   "the bucket was not written in time");
  }
  co_return std::move(*waiting->verdict);
}

void BucketKeeper::wake() {
  if (this->running) {
    this->timer.cancel();
    return;
  }
  this->running = true;
  asio::co_spawn(this->loop, run(this->shared_from_this()), asio::detached);
}

Task<> BucketKeeper::run(std::shared_ptr<BucketKeeper> self) {
  while (true) {
    std::optional<BucketWriter::Step> step =
        self->writer.next(Clock::now(), wall_seconds(), random_number());
    self->deliver();
    if (step) {
      co_await self->perform(std::move(*step));
      self->deliver();
      continue;
    }
    const TimePoint wake = self->writer.wake_at();
    if (wake == TimePoint::max()) {
      break;
    }
    if (wake > Clock::now()) {
      self->timer.expires_at(wake);
      co_await self->timer.async_wait(kAwait);
    }
  }
  self->running = false;
}

Task<> BucketKeeper::perform(BucketWriter::Step step) {
  using Kind = BucketWriter::Step::Kind;
  const TimePoint deadline = Clock::now() + kStepTimeout;
  if (step.kind == Kind::kLoadHead || step.kind == Kind::kLoadSegment) {
    Result<store::StoredObject> object =
        co_await this->store.get(store::kClaims, step.name, deadline);
    if (step.kind == Kind::kLoadHead) {
      this->writer.on_head(std::move(object), Clock::now());
    } else {
      this->writer.on_segment(std::move(object));
    }
    co_return;
  }
  if (step.kind == Kind::kRemove) {
    Result<void> removed = co_await this->store.remove(
        store::kClaims, step.name, step.version, deadline);
    (void)removed;  // What stays is never read; it only takes room.
    co_return;
  }
  Result<store::Version> version = co_await this->store.put(
      store::kClaims, step.name, std::move(step.value), step.version, deadline);
  this->metrics.count(outcome_of(version));
  if (step.kind == Kind::kPutSegment) {
    this->writer.on_segment_put(std::move(version));
  } else {
    this->writer.on_head_put(std::move(version), Clock::now());
  }
}

void BucketKeeper::deliver() {
  auto completions = this->writer.take_completions();
  this->metrics.count_operations(completions.size());
  for (BucketWriter::Completion& completion : completions) {
    const auto found = this->pending.find(completion.ticket);
    if (found != this->pending.end()) {
      found->second->verdict = std::move(completion.verdict);
      found->second->arrived.cancel();
    }
  }
}

}  // namespace ibismux::reservation
