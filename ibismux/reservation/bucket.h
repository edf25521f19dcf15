#ifndef IBISMUX_RESERVATION_BUCKET_H_
#define IBISMUX_RESERVATION_BUCKET_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/reservation/archive.h"
#include "ibismux/reservation/bucket_operation.h"
#include "ibismux/reservation/key_record.h"

namespace ibismux::reservation {

/// The head of one bucket: its newest records, and the names of the segments
/// that hold the older ones. A value; what it decides depends on its arguments
/// alone. Not thread safe.
class Bucket {
 public:
  /// @name Stored form
  /// @{

  /// kProtocolError where `value` is not a head.
  [[nodiscard]] static Result<Bucket> decode(const std::string& value);
  [[nodiscard]] std::string encode() const;
  /// @}

  /// Changes a key as `operation` asks, if the key's state allows it.
  /// @param archive The records of this head's segments, all of them.
  /// @param now Wall-clock time since 1970.
  [[nodiscard]] Verdict apply(const BucketOperation& operation,
                              const Archive& archive,
                              std::chrono::seconds now);

  /// Whether an `apply()` or `forget()` changed anything since decoding.
  [[nodiscard]] bool changed() const noexcept { return this->is_changed; }

  /// This value is what the platform holds now.
  void mark_written() noexcept { this->is_changed = false; }

  /// The key's newest record, or null. Valid until either changes.
  [[nodiscard]] const KeyRecord* find(const KeyHash& key,
                                      const Archive& archive) const;

  /// @name Size
  /// @{

  /// Forgets what was created before `oldest`: whole segments, and records of
  /// the head.
  void forget(std::chrono::seconds oldest);

  /// Takes records out for a new segment: the settled ones, and the oldest of
  /// the rest where those alone exceed `most_bytes`.
  [[nodiscard]] std::vector<KeyRecord> take_for_segment(std::size_t most_bytes);

  /// Names a segment that now holds what was taken out.
  SegmentRef add_segment(std::string name,
                         const std::vector<KeyRecord>& records);

  [[nodiscard]] std::size_t bytes() const noexcept { return this->size_bytes; }
  [[nodiscard]] const std::vector<SegmentRef>& segments() const noexcept {
    return this->segment_refs;
  }
  /// @}

 private:
  Verdict claim(const KeyRecord* known,
                const KeyRecord& wanted,
                std::chrono::seconds now);
  Verdict settle(const KeyRecord* known, const KeyRecord& outcome);
  Verdict close(const KeyRecord* known,
                const KeyRecord& wanted,
                std::chrono::seconds now);
  Verdict store(VerdictKind kind, KeyRecord record);

  std::unordered_map<KeyHash, KeyRecord> records;
  std::vector<SegmentRef> segment_refs;
  std::uint64_t next_sequence = 1;
  std::size_t size_bytes = 0;
  bool is_changed = false;
};

}  // namespace ibismux::reservation

#endif  // IBISMUX_RESERVATION_BUCKET_H_
