#ifndef IBISMUX_RESERVATION_ARCHIVE_H_
#define IBISMUX_RESERVATION_ARCHIVE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "ibismux/reservation/key_record.h"
#include "ibismux/store/stored_object.h"

namespace ibismux::reservation {

/// Names an immutable object that holds older records of a bucket.
struct SegmentRef {
  std::string name;
  /// Of two records of one key, that of the higher sequence holds.
  std::uint64_t sequence = 0;
  std::chrono::seconds newest{};  ///< Creation time of its newest record.

  [[nodiscard]] bool operator==(const SegmentRef&) const = default;
};

/// The records in a bucket's segments, as far as they are loaded. Not thread
/// safe.
class Archive {
 public:
  /// @name Keeping step with a head
  /// @{

  /// Those of `wanted` that are not here.
  [[nodiscard]] std::vector<SegmentRef> missing(
      const std::vector<SegmentRef>& wanted) const;
  void add(const SegmentRef& ref,
           store::Version version,
           std::vector<KeyRecord> records);
  /// Forgets all segments but `wanted`.
  void keep_only(const std::vector<SegmentRef>& wanted);
  /// @}

  /// The newest record of `key`, or null. Valid until the archive changes.
  [[nodiscard]] const KeyRecord* find(const KeyHash& key) const;
  /// The platform's version of a segment; 0 where it is not here.
  [[nodiscard]] store::Version version_of(const std::string& name) const;
  [[nodiscard]] std::size_t size() const noexcept {
    return this->records.size();
  }

 private:
  struct Entry {
    std::uint64_t sequence = 0;
    KeyRecord record;
  };
  struct Loaded {
    SegmentRef ref;
    store::Version version = 0;
    std::vector<KeyHash> keys;
  };

  std::map<std::string, Loaded> segments;
  std::unordered_map<KeyHash, Entry> records;
};

}  // namespace ibismux::reservation

#endif  // IBISMUX_RESERVATION_ARCHIVE_H_
