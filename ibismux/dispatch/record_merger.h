#ifndef IBISMUX_DISPATCH_RECORD_MERGER_H_
#define IBISMUX_DISPATCH_RECORD_MERGER_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace ibismux::dispatch {

/// Size of one record in the body of a shard's answer, in bytes.
inline constexpr std::size_t kRecordBytes = 16;

/// The greatest records of several shards, compared byte by byte.
///
/// Records are opaque: the merger knows their size and order, and nothing of
/// what they hold. Equal records all count. Bytes at the end of a body that
/// don't make up a whole record are left out.
///
/// Not thread safe.
class RecordMerger {
 public:
  /// @param most How many records are kept.
  explicit RecordMerger(std::size_t most) : most(most) {}

  /// Takes in the records of one shard, in any order. `body` must live until
  /// `take()`.
  void add(std::string_view body);

  /// The greatest records, greatest first, one behind the other.
  [[nodiscard]] std::string take();

 private:
  const std::size_t most;
  std::vector<std::string_view> records;
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_RECORD_MERGER_H_
