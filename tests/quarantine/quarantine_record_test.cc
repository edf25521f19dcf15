#include "ibismux/quarantine/quarantine_record.h"

#include <criterion/criterion.h>

namespace ibismux::quarantine {
namespace {

using std::chrono::hours;
using std::chrono::minutes;

constexpr UnixTime kNow = hours(500'000);

QuarantineRecord record_of(const std::vector<std::string>& leaf_runs) {
  QuarantineRecord record;
  for (const std::string& leaf_run : leaf_runs) {
    record.add(leaf_run, kNow);
  }
  return record;
}

Test(quarantine_record, the_third_leaf_quarantines) {
  cr_assert(record_of({}).state(kNow) == QuarantineState::kClear);
  cr_assert(record_of({"a", "b"}).state(kNow) == QuarantineState::kSuspect);
  cr_assert(record_of({"a", "b", "c"}).state(kNow) ==
            QuarantineState::kQuarantined);
}

// Guards against counting a leaf once for each daemon that reports it.
Test(quarantine_record, one_run_of_a_leaf_counts_once) {
  cr_assert(record_of({"a", "a", "a"}).state(kNow) ==
            QuarantineState::kSuspect);
}

Test(quarantine_record,
     a_released_request_that_ends_a_leaf_is_quarantined_again) {
  QuarantineRecord record = record_of({"a", "b", "c"});
  const UnixTime later = kNow + hours(2);
  cr_assert(record.state(later) == QuarantineState::kSuspect);
  record.add("d", later);
  cr_assert(record.state(later + hours(24 * 300)) ==
            QuarantineState::kQuarantined);
}

// Guards against ignoring leafs whose end other daemons have seen.
Test(quarantine_record, records_merge_the_same_in_any_order) {
  QuarantineRecord one = record_of({"a", "b"});
  QuarantineRecord other = record_of({"b", "c"});
  const QuarantineRecord before = one;
  one.merge(other, kNow);
  other.merge(before, kNow);
  cr_assert(one == other);
  cr_assert(one.state(kNow) == QuarantineState::kQuarantined);
}

Test(quarantine_record, an_encoded_record_round_trips) {
  const QuarantineRecord record = record_of({"c@3", "a@1", "b@2"});
  cr_assert(decode_quarantine_record(encode(record)) == record);
}

Test(quarantine_record, malformed_objects_are_refused) {
  for (const char* value :
       {"", "[]", "{}", R"({"leaf_runs":"a","times_held":0,"held_until_ms":0})",
        R"({"leaf_runs":["a"],"times_held":-1,"held_until_ms":0})",
        R"({"leaf_runs":["a","b","c","d"],"times_held":1,"held_until_ms":0})",
        R"({"leaf_runs":["a"],"times_held":0,"held_until_ms":"soon"})"}) {
    cr_assert(!decode_quarantine_record(value).has_value(), "%s", value);
  }
}

}  // namespace
}  // namespace ibismux::quarantine
