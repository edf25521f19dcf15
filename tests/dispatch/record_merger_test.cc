#include "ibismux/dispatch/record_merger.h"

#include <criterion/criterion.h>

namespace ibismux::dispatch {
namespace {

std::string record(char first, char last = 0) {
  std::string bytes(kRecordBytes, '\0');
  bytes.front() = first;
  bytes.back() = last;
  return bytes;
}

Test(record_merger, returns_the_largest_records_in_descending_order) {
  const std::string one = record(1) + record(9) + record(4);
  const std::string two = record(7);
  RecordMerger merger(3);
  merger.add(one);
  merger.add(two);
  cr_assert(merger.take() == record(9) + record(7) + record(4));
}

Test(record_merger, bytes_are_compared_as_unsigned) {
  const std::string body = record('\x7f') + record('\x80');
  RecordMerger merger(2);
  merger.add(body);
  cr_assert(merger.take() == record('\x80') + record('\x7f'));
}

Test(record_merger, the_last_byte_is_compared) {
  const std::string body = record(5, 1) + record(5, 2);
  RecordMerger merger(1);
  merger.add(body);
  cr_assert(merger.take() == record(5, 2));
}

Test(record_merger, duplicates_are_kept) {
  const std::string body = record(5) + record(5) + record(1);
  RecordMerger merger(2);
  merger.add(body);
  cr_assert(merger.take() == record(5) + record(5));
}

Test(record_merger, trailing_bytes_are_ignored) {
  const std::string body = record(5) + std::string(kRecordBytes - 1, '\xff');
  RecordMerger merger(5);
  merger.add(body);
  cr_assert(merger.take() == record(5));
}

Test(record_merger, an_empty_body_has_no_records) {
  RecordMerger merger(10);
  merger.add("");
  cr_assert(merger.take().empty());
}

}  // namespace
}  // namespace ibismux::dispatch
