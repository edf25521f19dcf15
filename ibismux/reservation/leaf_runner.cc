#include "ibismux/reservation/leaf_runner.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>
#include <utility>

#include "ibismux/gateway/leaf_caller.h"
#include "ibismux/release/release.h"
#include "ibismux/reservation/leaf_choice.h"
#include "ibismux/reservation/pause.h"

namespace ibismux::reservation {

namespace asio = boost::asio;

namespace {

constexpr double kRetryShare = 0.2;
constexpr double kMostSavedRetries = 50;
constexpr std::chrono::milliseconds kFirstBackoff{2};
constexpr std::chrono::milliseconds kLongestBackoff{50};

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

/// One answer on its way from the sink to the coroutine that waits for it.
struct PendingAnswer {
  explicit PendingAnswer(const asio::any_io_executor& executor)
      : arrived(executor, TimePoint::max()) {}

  std::optional<gateway::LeafAnswer> answer;
  asio::steady_timer arrived;  ///< Cancelled when `answer` is set.
};

Task<gateway::LeafAnswer> call_once(gateway::LeafCaller& leafs,
                                    gateway::LeafCallBatch batch) {
  auto executor = co_await asio::this_coro::executor;
  auto pending = std::make_shared<PendingAnswer>(executor);
  leafs.call(std::move(batch), executor, [pending](gateway::LeafAnswer answer) {
    pending->answer = std::move(answer);
    pending->arrived.cancel();
  });
  while (!pending->answer) {
    co_await pending->arrived.async_wait(kAwait);
  }
  co_return std::move(*pending->answer);
}

/// Refusals that another try may turn into a run.
bool worth_retrying(const Error& error) {
  return error.execution == Execution::kNotRun &&
         error.kind != ErrorKind::kCancelled &&
         error.kind != ErrorKind::kDeadlineExceeded &&
         error.kind != ErrorKind::kTooLarge &&
         error.kind != ErrorKind::kInvalidRequest;
}

Error too_late() {
  return Error{ErrorKind::kDeadlineExceeded, "no time left to send it",
               Execution::kNotRun, std::nullopt};
}

gateway::LeafCallBatch make_batch(const ReservationRequest& request,
                                  const LeafChoice& choice,
                                  TimePoint deadline,
                                  Priority priority,
                                  CallId id) {
  gateway::LeafCallBatch batch;
  batch.origin = id.origin;
  batch.kind = gateway::LeafCallKind::kReservation;
  batch.service = request.service;
  batch.snapshot = choice.snapshot;
  batch.priority = priority;
  batch.deadline = deadline;
  batch.key = request.key;
  batch.body = request.body;
  batch.items.push_back({id.sequence, choice.leaf, choice.shard});
  return batch;
}

}  // namespace

LeafRunner::LeafRunner(std::uint64_t origin,
                       const RcuCell<release::Release>& releases,
                       gateway::LeafCaller& leafs)
    : origin(origin),
      releases(releases),
      leafs(leafs),
      budget(kRetryShare, kMostSavedRetries) {}

Task<Result<ReservationAnswer>> LeafRunner::run(ReservationRequest request,
                                                TimePoint deadline) {
  this->budget.earn();
  Duration backoff = kFirstBackoff;
  for (std::size_t attempt = 0;; ++attempt) {
    // A daemon that was frozen wakes up here: what is late is never sent.
    if (Clock::now() >= deadline) {
      co_return tl::unexpected<Error>(too_late());
    }
    const auto release = this->releases.read();
    auto choice = choose_leaf(*release, request.service, request.item, attempt);
    if (!choice) {
      co_return tl::unexpected<Error>(std::move(choice).error());
    }
    const CallId id{this->origin, this->sequence.fetch_add(1) + 1};
    const Priority priority =
        release->services.find(request.service)->second->spec.priority;
    auto batch = make_batch(request, *choice, deadline, priority, id);
    gateway::LeafAnswer answer =
        co_await call_once(this->leafs, std::move(batch));
    if (answer.body) {
      ReservationAnswer ran{
          KeyState::kRun, choice->shard, std::move(*answer.body), false, {}};
      ran.leaf_wait.add(answer.queue_time, answer.leaf_time);
      co_return ran;
    }
    Error error = std::move(answer.body).error();
    const bool in_time = Clock::now() + backoff < deadline;
    if (!worth_retrying(error) || !in_time || !this->budget.spend()) {
      co_return tl::unexpected<Error>(std::move(error));
    }
    co_await pause_until(Clock::now() + backoff);
    backoff = std::min<Duration>(backoff * 2, kLongestBackoff);
  }
}

}  // namespace ibismux::reservation
