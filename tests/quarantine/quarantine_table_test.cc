#include "ibismux/quarantine/quarantine_table.h"

#include <criterion/criterion.h>

namespace ibismux::quarantine {
namespace {

constexpr UnixTime kNow = std::chrono::hours(500'000);

RequestDigest digest_of(int number) {
  return RequestDigest({"GET", "a.example", "/" + std::to_string(number), ""});
}

void quarantine(QuarantineTable& table, const RequestDigest& digest) {
  for (const char* leaf : {"a", "b", "c"}) {
    table.on_crash(digest, leaf, kNow);
  }
}

// Guards against unbounded memory use by many requests that end leafs.
Test(quarantine_table, the_number_of_requests_is_bounded) {
  QuarantineTable table;
  quarantine(table, digest_of(0));
  for (int i = 1; i < 5000; ++i) {
    table.on_crash(digest_of(i), "a", kNow);
  }
  cr_assert(table.size() <= QuarantineTable::kMaxRequests);
  cr_assert(table.state(digest_of(0), kNow) == QuarantineState::kQuarantined);
  for (int i = 5000; i < 7000; ++i) {
    quarantine(table, digest_of(i));
  }
  cr_assert(table.size() <= QuarantineTable::kMaxRequests);
  cr_assert(table.state(digest_of(6999), kNow) ==
            QuarantineState::kQuarantined);
}

Test(quarantine_table, a_crash_is_reported_as_a_change_until_written) {
  QuarantineTable table;
  int notifications = 0;
  table.on_dirty([&] { ++notifications; });
  table.on_crash(digest_of(1), "a", kNow);
  cr_assert(notifications == 1);
  const auto changes = table.changes();
  cr_assert(changes.size() == 1 && changes[0].stored_version == 0);
  table.mark_written(changes[0], 7);
  cr_assert(table.changes().empty());
}

// Guards against losing the end of a leaf that occurs during a write.
Test(quarantine_table, a_crash_during_a_write_is_written_next) {
  QuarantineTable table;
  table.on_crash(digest_of(1), "a", kNow);
  const auto changes = table.changes();
  table.on_crash(digest_of(1), "b", kNow);
  table.mark_written(changes[0], 7);
  cr_assert(table.changes().size() == 1 &&
            table.changes()[0].stored_version == 7);
}

Test(quarantine_table, evidence_of_other_daemons_counts) {
  QuarantineTable table;
  QuarantineRecord theirs;
  theirs.add("b", kNow);
  theirs.add("c", kNow);
  table.apply_object(digest_of(1), theirs, 7, kNow);
  cr_assert(table.changes().empty());
  cr_assert(table.on_crash(digest_of(1), "a", kNow) ==
            QuarantineState::kQuarantined);
  cr_assert(table.changes()[0].stored_version == 7);
}

Test(quarantine_table, a_cleared_request_is_removed_from_the_store) {
  QuarantineTable table;
  QuarantineRecord theirs;
  theirs.add("b", kNow);
  table.apply_object(digest_of(1), theirs, 7, kNow);
  cr_assert(table.on_answer(digest_of(1)));
  cr_assert(table.state(digest_of(1), kNow) == QuarantineState::kClear);
  const auto changes = table.changes();
  cr_assert(changes.size() == 1 && !changes[0].record);
  table.mark_written(changes[0], 0);
  cr_assert(table.size() == 0);
}

// Guards against losing the end of a leaf that occurs while the request's
// object is being removed.
Test(quarantine_table, a_crash_during_a_removal_is_written_next) {
  QuarantineTable table;
  table.on_crash(digest_of(1), "a", kNow);
  table.mark_written(table.changes()[0], 7);
  table.on_answer(digest_of(1));
  const auto removal = table.changes();
  table.on_crash(digest_of(1), "b", kNow);
  table.mark_written(removal[0], 0);
  const auto changes = table.changes();
  cr_assert(changes.size() == 1 && changes[0].stored_version == 0);
  cr_assert(changes[0].record->leaf_runs == std::vector<std::string>{"b"});
}

// Guards against an older answer that clears newer evidence of other daemons.
Test(quarantine_table, newer_evidence_survives_an_older_answer) {
  QuarantineTable table;
  QuarantineRecord theirs;
  theirs.add("b", kNow);
  table.apply_object(digest_of(1), theirs, 7, kNow);
  table.on_answer(digest_of(1));
  theirs.add("c", kNow);
  table.apply_object(digest_of(1), theirs, 9, kNow);
  cr_assert(table.state(digest_of(1), kNow) == QuarantineState::kSuspect);
  cr_assert(table.changes().empty());
}

Test(quarantine_table, an_operator_lifts_a_quarantine) {
  QuarantineTable table;
  quarantine(table, digest_of(1));
  table.mark_written(table.changes()[0], 7);
  table.apply_removal(digest_of(1));
  cr_assert(table.state(digest_of(1), kNow) == QuarantineState::kClear);
}

// Guards against a removal that discards evidence found in the meantime.
Test(quarantine_table, newer_evidence_survives_a_removal) {
  QuarantineTable table;
  table.on_crash(digest_of(1), "a", kNow);
  table.mark_written(table.changes()[0], 7);
  table.on_crash(digest_of(1), "b", kNow);
  table.apply_removal(digest_of(1));
  cr_assert(table.changes().size() == 1 &&
            table.changes()[0].stored_version == 0);
}

// Guards against losing a quarantine when the store is restored without it.
Test(quarantine_table, a_record_lost_by_a_restore_is_written_again) {
  QuarantineTable table;
  quarantine(table, digest_of(1));
  table.mark_written(table.changes()[0], 7);
  table.apply_loss(digest_of(1));
  cr_assert(table.state(digest_of(1), kNow) == QuarantineState::kQuarantined);
  const auto changes = table.changes();
  cr_assert(changes.size() == 1 && changes[0].stored_version == 0);
  cr_assert(changes[0].is_known_to_all);
}

// Guards against unbounded growth of the store by requests that end leafs.
Test(quarantine_table, the_oldest_suspect_is_evicted_from_a_full_store_first) {
  QuarantineTable table;
  quarantine(table, digest_of(0));
  table.mark_written(table.changes()[0], 1);
  cr_assert(!table.eviction_candidate().has_value());
  for (int i = 1; i <= static_cast<int>(QuarantineTable::kMaxStored); ++i) {
    table.on_crash(digest_of(i), "a", kNow);
    table.mark_written(table.changes()[0], static_cast<store::Version>(i + 1));
  }
  const auto eviction_candidate = table.eviction_candidate();
  cr_assert(eviction_candidate && eviction_candidate->digest == digest_of(1) &&
            !eviction_candidate->record);
}

}  // namespace
}  // namespace ibismux::quarantine
