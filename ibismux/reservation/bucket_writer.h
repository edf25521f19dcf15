#ifndef IBISMUX_RESERVATION_BUCKET_WRITER_H_
#define IBISMUX_RESERVATION_BUCKET_WRITER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/base/time.h"
#include "ibismux/reservation/archive.h"
#include "ibismux/reservation/bucket.h"
#include "ibismux/reservation/bucket_operation.h"
#include "ibismux/reservation/reservation_settings.h"
#include "ibismux/store/stored_object.h"

namespace ibismux::reservation {

/// Group commit of one bucket: which operations go into one conditional write,
/// when it is made, and how a lost answer or a rival's write is settled.
///
/// The owner of the writer asks `next()` for a step, carries it out on the
/// platform, and tells how it went; one step at a time. Any number of writers
/// may work on one bucket at once: every verdict that says "granted" or
/// "applied" stands in a head that was written over exactly the version it was
/// decided on. Not thread safe; free of clocks, sockets and randomness.
class BucketWriter {
 public:
  /// What to do on the platform, in the collection of claims.
  struct Step {
    enum class Kind : unsigned char {
      kLoadHead,     ///< get, then on_head().
      kLoadSegment,  ///< get, then on_segment().
      kPutSegment,   ///< put, then on_segment_put().
      kPutHead,      ///< put, then on_head_put().
      kRemove        ///< remove; how it went doesn't matter.
    };
    Kind kind = Kind::kLoadHead;
    std::string name;
    std::string value;
    store::Version version = 0;  ///< Expected, for a write.
  };

  /// How one submitted operation ended.
  struct Completion {
    std::uint64_t ticket = 0;
    Result<Verdict> verdict;
  };

  BucketWriter(std::uint32_t bucket, ReservationSettings settings);

  /// Takes an operation in. @return The number of its completion.
  std::uint64_t submit(BucketOperation operation,
                       TimePoint now,
                       TimePoint deadline);

  /// The next step that is due, if any. Precondition: no step is under way.
  /// @param wall Wall-clock time since 1970, for the age of records.
  /// @param salt Random; names a new segment.
  [[nodiscard]] std::optional<Step> next(TimePoint now,
                                         std::chrono::seconds wall,
                                         std::uint64_t salt);

  /// When `next()` may have a step; TimePoint::max() where nothing waits.
  [[nodiscard]] TimePoint wake_at() const;

  /// @name How the step went
  /// @{
  void on_head(Result<store::StoredObject> head, TimePoint now);
  void on_segment(Result<store::StoredObject> segment);
  void on_segment_put(Result<store::Version> version);
  void on_head_put(Result<store::Version> version, TimePoint now);
  /// @}

  /// Operations that ended since the last call.
  [[nodiscard]] std::vector<Completion> take_completions();

  [[nodiscard]] std::size_t waiting() const noexcept {
    return this->queue.size();
  }

 private:
  struct Queued {
    std::uint64_t ticket = 0;
    BucketOperation operation;
    TimePoint since;
    TimePoint deadline;
  };
  /// A head that is being written, and what it answers.
  struct Candidate {
    Bucket bucket;
    std::vector<Verdict> verdicts;  ///< Of the first operations of the queue.
  };
  /// A segment that is written before the head that names it.
  struct NewSegment {
    SegmentRef ref;
    std::vector<KeyRecord> records;
    store::Version version = 0;
    store::Version head_version = 0;  ///< The head it was made for.
  };

  void expire(TimePoint now);
  void fail_all(const Error& error);
  void complete_first(std::vector<Verdict> verdicts);
  void settle_segment();
  [[nodiscard]] TimePoint due_at() const;
  [[nodiscard]] Candidate decide(std::chrono::seconds wall) const;
  [[nodiscard]] Step put_segment(std::uint64_t salt);
  [[nodiscard]] Step load_head(TimePoint now);
  [[nodiscard]] Step put_head(TimePoint now);
  [[nodiscard]] bool misses_outcome(const std::vector<Verdict>& verdicts) const;
  [[nodiscard]] std::optional<Step> remove_garbage();

  const std::string head_name;
  const ReservationSettings settings;

  Bucket bucket;
  store::Version version = 0;  ///< Of `bucket`.
  Archive archive;
  std::vector<SegmentRef> to_load;
  bool must_load = true;
  TimePoint loaded_at = TimePoint::min();  ///< When `bucket` was the newest.
  /// `bucket` holds all that was committed before this.
  TimePoint known_as_of = TimePoint::min();
  TimePoint step_began = TimePoint::min();  ///< Of the head, the last one.

  std::deque<Queued> queue;
  std::uint64_t next_ticket = 1;
  std::optional<Candidate> candidate;
  std::optional<NewSegment> segment;
  std::vector<std::pair<std::string, store::Version>> garbage;
  TimePoint last_commit = TimePoint::min();
  TimePoint paid_until;      ///< Each commit moves it on by `linger`.
  bool write_again = false;  ///< The last head write failed: don't linger.
  std::vector<Completion> completions;
};

}  // namespace ibismux::reservation

#endif  // IBISMUX_RESERVATION_BUCKET_WRITER_H_
