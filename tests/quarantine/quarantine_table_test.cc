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

// Guards against memory that grows with each new request that ends leafs.
Test(quarantine_table, many_different_requests_take_bounded_room) {
  QuarantineTable table;
  quarantine(table, digest_of(0));
  for (int i = 1; i < 5000; ++i) {
    table.on_crash(digest_of(i), "a", kNow);
  }
  cr_assert(table.size() <= QuarantineTable::kMostRequests);
  cr_assert(table.standing(digest_of(0), kNow) == Standing::kQuarantined);
  for (int i = 5000; i < 7000; ++i) {
    quarantine(table, digest_of(i));
  }
  cr_assert(table.size() <= QuarantineTable::kMostRequests);
  cr_assert(table.standing(digest_of(6999), kNow) == Standing::kQuarantined);
}

Test(quarantine_table, what_the_store_lacks_is_to_be_written) {
  QuarantineTable table;
  int told = 0;
  table.on_dirty([&] { ++told; });
  table.on_crash(digest_of(1), "a", kNow);
  cr_assert(told == 1);
  const auto changes = table.changes();
  cr_assert(changes.size() == 1 && changes[0].stored == 0);
  table.written(changes[0], 7);
  cr_assert(table.changes().empty());
}

// Guards against a leaf that ends during a write and is never told of.
Test(quarantine_table, what_was_learned_during_a_write_is_written_next) {
  QuarantineTable table;
  table.on_crash(digest_of(1), "a", kNow);
  const auto changes = table.changes();
  table.on_crash(digest_of(1), "b", kNow);
  table.written(changes[0], 7);
  cr_assert(table.changes().size() == 1 && table.changes()[0].stored == 7);
}

Test(quarantine_table, what_others_saw_counts_and_is_added_to) {
  QuarantineTable table;
  QuarantineRecord theirs;
  theirs.add("b", kNow);
  theirs.add("c", kNow);
  table.take(digest_of(1), theirs, 7, kNow);
  cr_assert(table.changes().empty());
  cr_assert(table.on_crash(digest_of(1), "a", kNow) == Standing::kQuarantined);
  cr_assert(table.changes()[0].stored == 7);
}

Test(quarantine_table, a_cleared_request_leaves_the_store) {
  QuarantineTable table;
  QuarantineRecord theirs;
  theirs.add("b", kNow);
  table.take(digest_of(1), theirs, 7, kNow);
  cr_assert(table.on_answer(digest_of(1)));
  cr_assert(table.standing(digest_of(1), kNow) == Standing::kClear);
  const auto changes = table.changes();
  cr_assert(changes.size() == 1 && !changes[0].record);
  table.written(changes[0], 0);
  cr_assert(table.size() == 0);
}

// Guards against a leaf that ends while the request's object is removed.
Test(quarantine_table, what_was_learned_during_a_removal_is_written_next) {
  QuarantineTable table;
  table.on_crash(digest_of(1), "a", kNow);
  table.written(table.changes()[0], 7);
  table.on_answer(digest_of(1));
  const auto removal = table.changes();
  table.on_crash(digest_of(1), "b", kNow);
  table.written(removal[0], 0);
  const auto changes = table.changes();
  cr_assert(changes.size() == 1 && changes[0].stored == 0);
  cr_assert(changes[0].record->leaf_runs == std::vector<std::string>{"b"});
}

// Guards against an old answer that lifts what others have seen since.
Test(quarantine_table, newer_evidence_outlives_an_answer) {
  QuarantineTable table;
  QuarantineRecord theirs;
  theirs.add("b", kNow);
  table.take(digest_of(1), theirs, 7, kNow);
  table.on_answer(digest_of(1));
  theirs.add("c", kNow);
  table.take(digest_of(1), theirs, 9, kNow);
  cr_assert(table.standing(digest_of(1), kNow) == Standing::kSuspect);
  cr_assert(table.changes().empty());
}

Test(quarantine_table, an_operator_lifts_a_quarantine) {
  QuarantineTable table;
  quarantine(table, digest_of(1));
  table.written(table.changes()[0], 7);
  table.take_removal(digest_of(1));
  cr_assert(table.standing(digest_of(1), kNow) == Standing::kClear);
}

// Guards against a removal that takes along what was learned meanwhile.
Test(quarantine_table, what_was_learned_since_outlives_a_removal) {
  QuarantineTable table;
  table.on_crash(digest_of(1), "a", kNow);
  table.written(table.changes()[0], 7);
  table.on_crash(digest_of(1), "b", kNow);
  table.take_removal(digest_of(1));
  cr_assert(table.changes().size() == 1 && table.changes()[0].stored == 0);
}

// Guards against a quarantine that a restored store has lost.
Test(quarantine_table, what_a_restored_store_lacks_is_written_again) {
  QuarantineTable table;
  quarantine(table, digest_of(1));
  table.written(table.changes()[0], 7);
  table.take_loss(digest_of(1));
  cr_assert(table.standing(digest_of(1), kNow) == Standing::kQuarantined);
  const auto changes = table.changes();
  cr_assert(changes.size() == 1 && changes[0].stored == 0);
  cr_assert(changes[0].is_known_to_all);
}

// Guards against a store that fills up with requests that end leafs.
Test(quarantine_table, the_oldest_suspect_leaves_a_full_store_first) {
  QuarantineTable table;
  quarantine(table, digest_of(0));
  table.written(table.changes()[0], 1);
  cr_assert(!table.surplus().has_value());
  for (int i = 1; i <= static_cast<int>(QuarantineTable::kMostStored); ++i) {
    table.on_crash(digest_of(i), "a", kNow);
    table.written(table.changes()[0], static_cast<store::Version>(i + 1));
  }
  const auto surplus = table.surplus();
  cr_assert(surplus && surplus->digest == digest_of(1) && !surplus->record);
}

}  // namespace
}  // namespace ibismux::quarantine
