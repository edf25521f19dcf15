#include "ibismux/reservation/outcome_recorder.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "ibismux/base/io_pool.h"
#include "ibismux/base/time.h"
#include "ibismux/reservation/claim_client.h"
#include "ibismux/reservation/live_claims.h"
#include "ibismux/reservation/pause.h"
#include "ibismux/reservation/random_source.h"

namespace ibismux::reservation {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds kTryTimeout{2};
constexpr std::chrono::milliseconds kFirstBackoff{50};
constexpr std::chrono::milliseconds kLongestBackoff{5000};

/// Half to the whole of `backoff`.
Duration jittered(std::chrono::milliseconds backoff) {
  const auto half = static_cast<std::uint64_t>(backoff.count()) / 2;
  return std::chrono::milliseconds(half + random_number() % (half + 1));
}

}  // namespace

OutcomeRecorder::OutcomeRecorder(IoPool& pool,
                                 std::shared_ptr<ClaimClient> client,
                                 std::shared_ptr<LiveClaims> live)
    : pool(pool), client(std::move(client)), live(std::move(live)) {}

void OutcomeRecorder::record(KeyRecord outcome) {
  this->live->settle(outcome);
  asio::co_spawn(this->pool.next(),
                 keep_trying(this->shared_from_this(), std::move(outcome)),
                 asio::detached);
}

Task<> OutcomeRecorder::keep_trying(std::shared_ptr<OutcomeRecorder> self,
                                    KeyRecord outcome) {
  std::chrono::milliseconds backoff = kFirstBackoff;
  while (!self->stopping) {
    BucketOperation operation{OperationKind::kRecord, outcome};
    Result<Verdict> verdict = co_await self->client->commit(
        std::move(operation), Clock::now() + kTryTimeout);
    if (verdict) {
      self->live->remove(outcome.claim);
      co_return;
    }
    co_await pause_until(Clock::now() + jittered(backoff));
    backoff = std::min(backoff * 2, kLongestBackoff);
  }
}

}  // namespace ibismux::reservation
