#include "ibismux/query/gather.h"

#include "tests/query/query_fixture.h"

#include <criterion/criterion.h>

namespace ibismux::query {
namespace {

constexpr std::uint64_t kRestartSequence = 5000;

PinnedSnapshot old_pin() {
  return pin_of(release_of(1, snapshot_of("n1", 1, 3, 1)));
}

PinnedSnapshot new_pin() {
  return pin_of(release_of(2, snapshot_of("n2", 2, 4, 1)));
}

// Guards against an answer with hits of two snapshots.
Test(restart, hits_of_the_old_snapshot_are_discarded) {
  GatherFixture query(old_pin());
  query.answer_hit(query.started[0], 2);
  query.refuse(query.started[1], ErrorKind::kSnapshotGone, 3);
  cr_assert(query.gather.wants_restart(query.at(3)));
  query.gather.start(new_pin(), kRestartSequence, query.at(3));
  cr_assert(query.gather.take_cancels().size() == 1);
  const std::vector<GatherCall> again = query.gather.take_starts();
  cr_assert(again.size() == 4);
  query.answer(query.started[2].sequence, body_of("old", 9), 4);
  for (const GatherCall& call : again) {
    query.answer_hit(call, 6);
  }
  const Result<QueryAnswer> answer = query.gather.take_result();
  cr_assert(answer->snapshot == "n2");
  cr_assert(answer->coverage.total == 4);
  cr_assert(answer->coverage.contributed.size() == 4);
  cr_assert(answer->hits.size() == 4);
  cr_assert(answer->hits[0].id == "h0");
  cr_assert(answer->restarts == 1);
  cr_assert(query.gather.counts().foreign == 1);
}

Test(restart, it_happens_at_most_once) {
  GatherFixture query(old_pin(), 0.5);
  query.refuse(query.started[1], ErrorKind::kSnapshotGone, 3);
  query.gather.start(new_pin(), kRestartSequence, query.at(3));
  const std::vector<GatherCall> again = query.gather.take_starts();
  query.refuse(again[0], ErrorKind::kSnapshotGone, 5);
  cr_assert(!query.gather.wants_restart(query.at(5)));
  for (std::size_t i = 1; i < again.size(); ++i) {
    query.answer_hit(again[i], 6);
  }
  const Result<QueryAnswer> answer = query.gather.take_result();
  cr_assert(answer->coverage.contributed.size() == 3);
  cr_assert(answer->coverage.missing[0].reason == ErrorKind::kSnapshotGone);
}

Test(restart, no_newer_snapshot_in_time_gives_a_partial_answer) {
  GatherFixture query(old_pin(), 0.5, milliseconds(100));
  query.answer_hit(query.started[0], 2);
  query.refuse(query.started[1], ErrorKind::kSnapshotGone, 3);
  cr_assert(query.gather.next_wake() < query.at(20));
  query.answer_hit(query.started[2], 6);
  cr_assert(query.gather.wants_restart(query.at(50)));
  query.gather.on_timer(query.at(95));
  cr_assert(query.gather.finished());
  const Result<QueryAnswer> answer = query.gather.take_result();
  cr_assert(answer->snapshot == "n1");
  cr_assert(answer->coverage.contributed.size() == 2);
}

// Guards against queries that all last until their deadline because a leaf has
// lost its index.
Test(restart, with_sufficient_coverage_it_waits_only_briefly) {
  GatherFixture query(old_pin(), 0.5);
  query.answer_hit(query.started[0], 2);
  query.refuse(query.started[1], ErrorKind::kSnapshotGone, 3);
  query.answer_hit(query.started[2], 6);
  query.gather.on_timer(query.at(20));
  cr_assert(!query.gather.finished());
  query.gather.on_timer(query.at(60));
  cr_assert(query.gather.finished());
  cr_assert(query.gather.take_result()->coverage.contributed.size() == 2);
}

Test(restart, with_too_little_coverage_it_waits_for_a_newer_snapshot) {
  GatherFixture query(old_pin());
  query.refuse(query.started[1], ErrorKind::kSnapshotGone, 3);
  query.gather.on_timer(query.at(900));
  cr_assert(query.gather.wants_restart(query.at(900)));
}

// Guards against queries that fail when the index changes although a newer
// snapshot can be served.
Test(restart, it_needs_no_retry_budget) {
  GatherFixture query(pin_of(release_of(1, snapshot_of("n1", 1, 1, 2))));
  while (query.retries.take()) {
  }
  query.refuse(query.started[0], ErrorKind::kSnapshotGone, 3);
  cr_assert(!query.gather.finished());
  cr_assert(query.gather.wants_restart(query.at(3)));
}

Test(restart, another_replica_may_still_hold_the_snapshot) {
  GatherFixture query(pin_of(release_of(1, snapshot_of("n1", 1, 1, 2))));
  query.refuse(query.started[0], ErrorKind::kSnapshotGone, 3);
  cr_assert(!query.gather.wants_restart(query.at(3)));
  const std::vector<GatherCall> retries = query.gather.take_starts();
  cr_assert(retries.size() == 1);
  query.answer_hit(retries[0], 5);
  cr_assert(query.gather.take_result()->snapshot == "n1");
}

}  // namespace
}  // namespace ibismux::query
