#include "ibismux/reservation/bucket_writer.h"

#include <criterion/criterion.h>

namespace ibismux::reservation {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = BucketWriter::Step::Kind;

const TimePoint kStart = TimePoint() + seconds(1000);
constexpr seconds kWall{1'000'000};

BucketOperation claim(std::uint64_t key, std::uint64_t id) {
  BucketOperation operation;
  operation.record.key = {0, key};
  operation.record.claim = {1, id};
  operation.record.executor = {"host", 7};
  return operation;
}

BucketOperation outcome(std::uint64_t key,
                        std::uint64_t id,
                        RecordState state) {
  BucketOperation operation = claim(key, id);
  operation.kind = OperationKind::kRecord;
  operation.record.state = state;
  operation.record.result = std::string(100, 'r');
  return operation;
}

Error lost() {
  return Error{ErrorKind::kPlatformUnavailable, "lost", Execution::kUnknown};
}

Error conflict() {
  return Error{ErrorKind::kConflict, "rival", Execution::kNotRun};
}

/// One bucket in a platform that does as told.
struct Rig {
  explicit Rig(ReservationSettings settings = {}) : writer(0, settings) {}

  /// Carries out steps until none is due; counts the head's writes.
  void go(TimePoint now) {
    while (auto step = this->writer.next(now, this->wall, ++this->salt)) {
      if (step->kind == Kind::kLoadHead) {
        this->writer.on_head(this->read("head"), now);
      } else if (step->kind == Kind::kLoadSegment) {
        this->writer.on_segment(this->read(step->name));
      } else if (step->kind == Kind::kPutSegment) {
        this->objects[step->name] = {"claims", step->name, ++this->newest,
                                     step->value};
        this->writer.on_segment_put(this->newest);
      } else if (step->kind == Kind::kRemove) {
        this->objects.erase(step->name);
      } else {
        this->writer.on_head_put(this->write(*step), now);
      }
    }
    for (auto& done : this->writer.take_completions()) {
      this->verdicts[done.ticket] = std::move(done.verdict);
    }
  }

  Result<store::StoredObject> read(const std::string& name) {
    const auto found = this->objects.find(name);
    if (found == this->objects.end()) {
      return fail(ErrorKind::kNotFound, name);
    }
    return found->second;
  }

  Result<store::Version> write(const BucketWriter::Step& step) {
    ++this->head_writes;
    const store::Version current = this->objects["head"].version;
    if (step.version != current) {
      return tl::unexpected<Error>(conflict());
    }
    this->objects["head"] = {"claims", "head", ++this->newest, step.value};
    if (this->answers_to_lose > 0) {
      --this->answers_to_lose;
      return tl::unexpected<Error>(lost());
    }
    return this->newest;
  }

  bool granted(std::uint64_t ticket) {
    const auto found = this->verdicts.find(ticket);
    return found != this->verdicts.end() && found->second &&
           found->second->kind == VerdictKind::kGranted;
  }

  BucketWriter writer;
  seconds wall = kWall;
  std::uint64_t salt = 0;
  store::Version newest = 0;
  std::map<std::string, store::StoredObject> objects;
  std::map<std::uint64_t, Result<Verdict>> verdicts;
  std::size_t head_writes = 0;
  std::size_t answers_to_lose = 0;
};

Test(bucket_writer, a_quiet_bucket_commits_at_once) {
  Rig rig;
  const auto ticket =
      rig.writer.submit(claim(1, 1), kStart, kStart + seconds(1));
  rig.go(kStart);
  cr_assert(rig.granted(ticket));
  cr_assert(rig.head_writes == 1);
}

ReservationSettings no_burst() {
  ReservationSettings settings;
  settings.burst = 1;
  return settings;
}

Test(bucket_writer, claims_under_load_share_one_write) {
  Rig rig(no_burst());
  (void)rig.writer.submit(claim(1, 1), kStart, kStart + seconds(1));
  rig.go(kStart);
  const TimePoint soon = kStart + milliseconds(30);
  for (std::uint64_t key = 2; key < 17; ++key) {
    (void)rig.writer.submit(claim(key, key), soon, soon + seconds(1));
  }
  rig.go(soon);
  cr_assert(rig.head_writes == 1);
  cr_assert(rig.writer.wake_at() == kStart + milliseconds(100));
  (void)rig.writer.submit(claim(17, 17), soon, soon + seconds(1));
  rig.go(soon);  // Full.
  cr_assert(rig.head_writes == 2);
  cr_assert(rig.verdicts.size() == 17);
}

// Guards against an outcome dropped by an owner that has not seen its claim.
Test(bucket_writer, an_outcome_whose_claim_memory_lacks_is_looked_up) {
  Rig rig;
  (void)rig.writer.submit(claim(2, 2), kStart, kStart + seconds(1));
  rig.go(kStart);
  Rig rival;
  rival.objects = rig.objects;
  rival.newest = rig.newest;
  (void)rival.writer.submit(claim(1, 1), kStart, kStart + seconds(1));
  rival.go(kStart);
  rig.objects = rival.objects;
  rig.newest = rival.newest;
  const TimePoint soon = kStart + milliseconds(50);
  const auto recorded = rig.writer.submit(outcome(1, 1, RecordState::kRun),
                                          soon, soon + seconds(1));
  // A claim of a key that is taken is due at once, and changes nothing.
  const auto refused = rig.writer.submit(claim(2, 3), soon, soon + seconds(1));
  rig.go(soon);
  cr_assert(rig.verdicts.at(recorded)->kind == VerdictKind::kApplied);
  cr_assert(rig.verdicts.at(refused)->kind == VerdictKind::kExists);
}

Test(bucket_writer, a_few_claims_after_a_quiet_time_do_not_wait) {
  Rig rig;
  TimePoint now = kStart;
  for (std::uint64_t key = 1; key <= 7; ++key) {
    now += milliseconds(26);
    (void)rig.writer.submit(claim(key, key), now, now + seconds(1));
    rig.go(now);
  }
  // Five commits at 26 to 130 ms have used up 526 ms; the sixth is due when no
  // more than three times 100 ms of that lie ahead.
  cr_assert(rig.head_writes == 5);
  cr_assert(rig.writer.wake_at() == kStart + milliseconds(226));
}

Test(bucket_writer, outcomes_ride_on_the_next_claim) {
  Rig rig;
  (void)rig.writer.submit(claim(1, 1), kStart, kStart + seconds(1));
  rig.go(kStart);
  const TimePoint later = kStart + milliseconds(120);
  (void)rig.writer.submit(outcome(1, 1, RecordState::kRun), later,
                          later + seconds(1));
  rig.go(later);
  cr_assert(rig.head_writes == 1);
  (void)rig.writer.submit(claim(2, 2), later, later + seconds(1));
  rig.go(later);
  cr_assert(rig.head_writes == 2);
  cr_assert(rig.verdicts.size() == 3);
}

// Failure: a claim that is held is reported as failed, or granted twice.
Test(bucket_writer, a_lost_answer_is_read_back_and_not_written_again) {
  Rig rig;
  rig.answers_to_lose = 1;
  const auto ticket =
      rig.writer.submit(claim(1, 1), kStart, kStart + seconds(1));
  rig.go(kStart);
  rig.go(kStart + milliseconds(25));
  cr_assert(rig.granted(ticket));
  cr_assert(rig.head_writes == 1);
}

Test(bucket_writer, a_rivals_claim_wins_where_it_was_written_first) {
  Rig rig;
  Rig rival;
  (void)rig.writer.submit(claim(9, 9), kStart, kStart + seconds(1));
  rig.go(kStart);
  rival.objects = rig.objects;
  rival.newest = rig.newest;
  const auto other =
      rival.writer.submit(claim(1, 2), kStart, kStart + seconds(1));
  rival.go(kStart);
  cr_assert(rival.granted(other));
  rig.objects = rival.objects;
  rig.newest = rival.newest;
  const TimePoint later = kStart + milliseconds(100);
  const auto ticket = rig.writer.submit(claim(1, 1), later, later + seconds(1));
  rig.go(later);
  rig.go(later + milliseconds(25));
  cr_assert(rig.verdicts.at(ticket)->kind == VerdictKind::kExists);
  cr_assert(rig.verdicts.at(ticket)->record.claim == ClaimId({1, 2}));
}

Test(bucket_writer, an_unknown_outcome_may_turn_into_run_but_not_released) {
  Rig rig;
  const TimePoint end = kStart + seconds(9);
  (void)rig.writer.submit(claim(1, 1), kStart, end);
  (void)rig.writer.submit(outcome(1, 1, RecordState::kUnknown), kStart, end);
  const auto release =
      rig.writer.submit(outcome(1, 1, RecordState::kReleased), kStart, end);
  const auto ran =
      rig.writer.submit(outcome(1, 1, RecordState::kRun), kStart, end);
  rig.go(kStart);
  cr_assert(rig.verdicts.at(release)->kind == VerdictKind::kExists);
  cr_assert(rig.verdicts.at(release)->record.state == RecordState::kUnknown);
  cr_assert(rig.verdicts.at(ran)->kind == VerdictKind::kApplied);
}

void fill(Rig& rig, std::uint64_t from, std::uint64_t to, TimePoint now) {
  for (std::uint64_t key = from; key < to; ++key) {
    (void)rig.writer.submit(claim(key, key), now, now + seconds(1));
    (void)rig.writer.submit(outcome(key, key, RecordState::kRun), now,
                            now + seconds(1));
  }
  rig.go(now);
}

ReservationSettings small_heads() {
  ReservationSettings settings;
  settings.most_head_bytes = 1000;
  return settings;
}

Test(bucket_writer, old_records_move_to_segments_and_are_still_found) {
  Rig rig(small_heads());
  fill(rig, 1, 21, kStart);
  cr_assert(rig.objects.size() == 2);  // The head and one segment.
  Rig successor(small_heads());
  successor.objects = rig.objects;
  successor.newest = rig.newest;
  const auto ticket =
      successor.writer.submit(claim(3, 99), kStart, kStart + seconds(1));
  successor.go(kStart);
  cr_assert(successor.verdicts.at(ticket)->kind == VerdictKind::kExists);
  cr_assert(successor.verdicts.at(ticket)->record.state == RecordState::kRun);
  cr_assert(successor.head_writes == 0);
}

Test(bucket_writer, a_window_past_its_retention_is_dropped_whole) {
  Rig rig(small_heads());
  fill(rig, 1, 21, kStart);
  rig.wall += std::chrono::hours(26);
  const TimePoint later = kStart + seconds(10);
  (void)rig.writer.submit(claim(50, 50), later, later + seconds(1));
  rig.go(later);
  rig.go(later);
  cr_assert(rig.objects.size() == 1);
  const auto again =
      rig.writer.submit(claim(3, 99), later + seconds(1), later + seconds(2));
  rig.go(later + seconds(1));
  cr_assert(rig.granted(again));
}

Test(bucket_writer, an_outage_refuses_all_that_waits) {
  Rig rig;
  const auto ticket =
      rig.writer.submit(claim(1, 1), kStart, kStart + seconds(1));
  const auto step = rig.writer.next(kStart, kWall, 1);
  cr_assert(step->kind == Kind::kLoadHead);
  rig.writer.on_head(fail(ErrorKind::kPlatformUnavailable, "down"), kStart);
  rig.go(kStart);
  cr_assert(!rig.verdicts.at(ticket).has_value());
  cr_assert(rig.writer.waiting() == 0);
}

}  // namespace
}  // namespace ibismux::reservation
