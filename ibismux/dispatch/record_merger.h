#ifndef IBISMUX_DISPATCH_RECORD_MERGER_H_
#define IBISMUX_DISPATCH_RECORD_MERGER_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace ibismux::dispatch {

/// Size of one record in the body of a shard's answer, in bytes.
inline constexpr std::size_t kRecordBytes = 16;

/// Selects the largest records of several shards, compared byte by byte.
///
/// Records are opaque: the merger only knows their size and order. Duplicates
/// are kept. Trailing bytes of a body that do not make up a whole record are
/// ignored.
///
/// Not thread safe.
class RecordMerger {
 public:
  /// @param max_records The number of records to keep.
  explicit RecordMerger(std::size_t max_records) : max_records(max_records) {}

  /// Adds the records of one shard, in any order. `body` must stay valid until
  /// `take()`.
  void add(std::string_view body);

  /// Returns the largest records, concatenated in descending order, and clears
  /// the merger.
  [[nodiscard]] std::string take();

 private:
  const std::size_t max_records;
  std::vector<std::string_view> records;
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_RECORD_MERGER_H_
