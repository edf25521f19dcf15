#include "ibismux/quarantine/crash_watch.h"

#include "ibismux/quarantine/quarantine_table.h"

#include <criterion/criterion.h>

namespace ibismux::quarantine {
namespace {

using End = CrashWatch::CallEnd;

constexpr UnixTime kNow = std::chrono::hours(500'000);

struct Attempts {
  [[nodiscard]] CrashWatch begin() {
    return {this->table, this->digest, [] { return kNow; }};
  }

  QuarantineTable table;
  RequestDigest digest{{"GET", "a.example", "/bad", ""}};
};

// Guards against a query that crashes a leaf of each shard and is then sent to
// all other replicas.
Test(crash_watch, after_a_leaf_has_ended_calls_start_one_at_a_time) {
  Attempts attempts;
  CrashWatch watch = attempts.begin();
  for (int i = 0; i < 10; ++i) {
    cr_assert(watch.may_send());
    watch.on_send();
  }
  watch.on_end(End::kLeafEnded, "a");
  cr_assert(!watch.may_send());
  for (int i = 1; i < 10; ++i) {
    watch.on_end(End::kLeafEnded, "b");
  }
  cr_assert(watch.may_send());
  watch.on_send();
  cr_assert(!watch.may_send());
}

// Guards against a query that ends a leaf of each shard at once.
Test(crash_watch, first_calls_are_limited_until_a_leaf_has_answered) {
  Attempts attempts;
  CrashWatch watch = attempts.begin();
  cr_assert(!watch.was_answered_lately());
  watch.limit_first_calls(1);
  cr_assert(watch.may_send());
  watch.on_send();
  cr_assert(!watch.may_send());
  watch.limit_first_calls(2);
  cr_assert(watch.may_send());
  watch.on_send();
  cr_assert(!watch.may_send());
  watch.on_end(End::kAnswered, "a");
  cr_assert(watch.may_send() && !watch.first_call_limit());
  cr_assert(attempts.begin().was_answered_lately());
}

// Guards against a quarantine caused by a power failure in a zone, which ends
// many leafs of one query.
Test(crash_watch, leafs_that_end_together_count_once) {
  Attempts attempts;
  CrashWatch watch = attempts.begin();
  for (int i = 0; i < 10; ++i) {
    watch.on_send();
  }
  for (int i = 0; i < 10; ++i) {
    watch.on_end(End::kLeafEnded, std::to_string(i));
  }
  cr_assert(watch.state() == QuarantineState::kSuspect);
}

Test(crash_watch, leafs_that_end_one_after_the_other_quarantine) {
  Attempts attempts;
  CrashWatch watch = attempts.begin();
  for (const char* leaf : {"a", "b", "c"}) {
    cr_assert(watch.may_send());
    watch.on_send();
    watch.on_end(End::kLeafEnded, leaf);
  }
  cr_assert(watch.is_quarantined());
  cr_assert(!watch.may_send());
  cr_assert(!attempts.begin().may_send());
}

// Guards against a quarantine for leafs that ended for other reasons.
Test(crash_watch, an_answer_clears_the_request) {
  Attempts attempts;
  CrashWatch first = attempts.begin();
  first.on_send();
  first.on_end(End::kLeafEnded, "a");
  first.on_send();
  first.on_end(End::kLeafEnded, "b");
  CrashWatch second = attempts.begin();
  second.on_send();
  second.on_end(End::kAnswered, "c");
  cr_assert(second.state() == QuarantineState::kClear);
  cr_assert(second.may_send());
  second.on_send();
  second.on_end(End::kLeafEnded, "d");
  cr_assert(second.state() == QuarantineState::kClear);
}

Test(crash_watch, a_rejected_call_changes_nothing) {
  Attempts attempts;
  CrashWatch watch = attempts.begin();
  watch.on_send();
  watch.on_end(End::kLeafEnded, "a");
  watch.on_send();
  watch.on_end(End::kOther, "b");
  cr_assert(watch.state() == QuarantineState::kSuspect);
}

// Guards against concurrent copies of one request that each end leafs without
// knowing of the others.
Test(crash_watch, concurrent_attempts_share_their_evidence) {
  Attempts attempts;
  CrashWatch one = attempts.begin();
  CrashWatch other = attempts.begin();
  one.on_send();
  other.on_send();
  one.on_end(End::kLeafEnded, "a");
  other.on_end(End::kLeafEnded, "b");
  one.on_send();
  one.on_end(End::kLeafEnded, "c");
  cr_assert(other.is_quarantined());
}

}  // namespace
}  // namespace ibismux::quarantine
