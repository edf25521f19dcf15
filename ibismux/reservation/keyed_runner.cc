#include "ibismux/reservation/keyed_runner.h"

#include <algorithm>
#include <utility>

#include "ibismux/membership/membership_view.h"
#include "ibismux/reservation/bucket_owner.h"
#include "ibismux/reservation/claim_client.h"
#include "ibismux/reservation/leaf_runner.h"
#include "ibismux/reservation/live_claims.h"
#include "ibismux/reservation/outcome_recorder.h"
#include "ibismux/reservation/pause.h"
#include "ibismux/reservation/random_source.h"

namespace ibismux::reservation {

namespace {

constexpr std::chrono::milliseconds kFirstPoll{10};
constexpr std::chrono::milliseconds kLongestPoll{200};
constexpr std::chrono::milliseconds kPlatformRetryAfter{1000};

tl::unexpected<Error> unknown(std::string message) {
  return fail(ErrorKind::kOutcomeUnknown, std::move(message));
}

/// Why a claim could not be made. This attempt ran nothing, but whether an
/// earlier one under the same key did can't be told: never "not run".
tl::unexpected<Error> not_claimed(Error error) {
  error.execution = Execution::kUnknown;
  if (error.kind == ErrorKind::kPlatformUnavailable) {
    error.message = "the key can't be claimed: " + error.message;
    if (!error.retry_after) {
      error.retry_after = kPlatformRetryAfter;
    }
  }
  return tl::unexpected<Error>(std::move(error));
}

bool worth_another_claim(const Error& error) {
  return error.kind == ErrorKind::kPeerUnavailable ||
         error.kind == ErrorKind::kDeadlineExceeded;
}

ReservationAnswer recorded(const KeyRecord& record) {
  return {KeyState::kRun, record.shard, record.result, true};
}

}  // namespace

KeyedRunner::KeyedRunner(Incarnation self,
                         const RcuCell<membership::MembershipView>& members,
                         LeafRunner& runner,
                         std::shared_ptr<ClaimClient> client,
                         std::shared_ptr<LiveClaims> live,
                         std::shared_ptr<OutcomeRecorder> recorder)
    : self(std::move(self)),
      members(members),
      runner(runner),
      client(std::move(client)),
      live(std::move(live)),
      recorder(std::move(recorder)) {}

Task<Result<ReservationAnswer>> KeyedRunner::run(ReservationRequest request,
                                                 TimePoint deadline) {
  KeyRecord claim;
  claim.key = hash_key(request.service, request.key);
  claim.body_hash = hash_body(*request.body);
  claim.claim = {random_number(), random_number()};
  claim.executor = this->self;
  if (!this->live->add(claim)) {
    Error error = make_error(ErrorKind::kOverloaded,
                             "too many outcomes wait to be recorded");
    error.retry_after = kPlatformRetryAfter;
    co_return not_claimed(std::move(error));
  }
  Result<Answer> answer = co_await this->acquire(claim, deadline);
  if (!answer || answer->has_value()) {
    // The claim is dead from here on: this daemon runs only what acquire()
    // granted. A copy of it that is committed late is released by the first
    // who asks this daemon about it.
    this->live->remove(claim.claim);
    if (!answer) {
      co_return tl::unexpected<Error>(std::move(answer).error());
    }
    co_return std::move(**answer);
  }
  co_return co_await this->execute(std::move(request), std::move(claim),
                                   deadline);
}

Task<Result<ReservationAnswer>> KeyedRunner::execute(ReservationRequest request,
                                                     KeyRecord claim,
                                                     TimePoint deadline) {
  Result<ReservationAnswer> answer =
      co_await this->runner.run(std::move(request), deadline);
  if (answer) {
    claim.state = RecordState::kRun;
    claim.shard = answer->shard;
    claim.result = answer->body;
  } else {
    // "Not run" is true for the caller even before it is recorded: the claim
    // held the key, so no other attempt has run it, and none may until the
    // record says that the claim is released.
    claim.state = answer.error().execution == Execution::kNotRun
                      ? RecordState::kReleased
                      : RecordState::kUnknown;
  }
  this->recorder->record(std::move(claim));
  co_return answer;
}

Task<Result<KeyedRunner::Answer>> KeyedRunner::acquire(KeyRecord claim,
                                                       TimePoint deadline) {
  std::chrono::milliseconds poll = kFirstPoll;
  Error last = make_error(ErrorKind::kDeadlineExceeded, "no time to claim");
  while (Clock::now() < deadline) {
    BucketOperation operation{OperationKind::kClaim, claim};
    Result<Verdict> verdict =
        co_await this->client->commit(std::move(operation), deadline);
    if (!verdict && !worth_another_claim(verdict.error())) {
      co_return not_claimed(std::move(verdict).error());
    }
    if (!verdict) {
      last = std::move(verdict).error();
    } else if (verdict->kind == VerdictKind::kGranted) {
      co_return Answer();
    } else {
      const KeyRecord& holder = verdict->record;
      if (holder.state == RecordState::kClosed) {
        co_return fail(ErrorKind::kKeyReused,
                       "the key was closed as not run by a question about it");
      }
      if (holder.body_hash != claim.body_hash) {
        co_return fail(ErrorKind::kKeyReused,
                       "the key was used with another body");
      }
      if (holder.state == RecordState::kRun) {
        co_return Answer(recorded(holder));
      }
      if (holder.state != RecordState::kClaimed ||
          this->is_gone(holder.executor)) {
        co_return unknown("an earlier attempt may have run");
      }
      last = make_error(ErrorKind::kOutcomeUnknown,
                        "an earlier attempt is still running");
      if (poll > kFirstPoll) {
        const bool dead = co_await this->release_if_dead(holder, deadline);
        if (dead) {
          continue;
        }
      }
    }
    co_await pause_until(std::min(deadline, Clock::now() + poll));
    poll = std::min(poll * 2, kLongestPoll);
  }
  co_return not_claimed(std::move(last));
}

/// A claim can be committed after its executor has given it up, when the owner
/// was frozen on the way or the platform lost the answer. Nobody would ever run
/// or finish it, and the key would look "running" for good. Its executor alone
/// can tell; where it says that the claim is dead, the key is set free.
Task<bool> KeyedRunner::release_if_dead(KeyRecord holder, TimePoint deadline) {
  bool dead = false;
  if (holder.executor == this->self) {
    dead = !this->live->contains(holder.claim);
  } else {
    dead = co_await this->client->is_dead(holder, deadline);
  }
  if (!dead) {
    co_return false;
  }
  holder.state = RecordState::kReleased;
  BucketOperation operation{OperationKind::kRecord, std::move(holder)};
  Result<Verdict> verdict =
      co_await this->client->commit(std::move(operation), deadline);
  co_return verdict.has_value();
}

Task<Result<ReservationAnswer>> KeyedRunner::ask(KeyHash key,
                                                 TimePoint deadline) {
  while (true) {
    const auto own = this->live->find(key);
    if (own && own->state == RecordState::kRun) {
      co_return recorded(*own);
    }
    if (own && own->state == RecordState::kClaimed) {
      co_return ReservationAnswer{KeyState::kRunning, {}, {}, true};
    }
    BucketOperation operation;
    operation.kind = OperationKind::kClose;
    operation.record.key = key;
    Result<Verdict> verdict =
        co_await this->client->commit(std::move(operation), deadline);
    if (!verdict) {
      co_return not_claimed(std::move(verdict).error());
    }
    const KeyRecord& record = verdict->record;
    if (record.state == RecordState::kRun) {
      co_return recorded(record);
    }
    if (record.state == RecordState::kClosed) {
      co_return ReservationAnswer{KeyState::kNotRun, {}, {}, true};
    }
    if (record.state == RecordState::kUnknown ||
        this->is_gone(record.executor)) {
      co_return ReservationAnswer{KeyState::kUnknown, {}, {}, true};
    }
    const bool dead = co_await this->release_if_dead(record, deadline);
    if (!dead || Clock::now() >= deadline) {
      co_return ReservationAnswer{KeyState::kRunning, {}, {}, true};
    }
  }
}

bool KeyedRunner::is_gone(const Incarnation& executor) const {
  const auto view = this->members.read();
  return !(executor == this->self) && has_ended(*view, executor);
}

}  // namespace ibismux::reservation
