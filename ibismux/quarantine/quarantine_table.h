#ifndef IBISMUX_QUARANTINE_QUARANTINE_TABLE_H_
#define IBISMUX_QUARANTINE_QUARANTINE_TABLE_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "ibismux/quarantine/answered_requests.h"
#include "ibismux/quarantine/quarantine_record.h"
#include "ibismux/quarantine/request_digest.h"
#include "ibismux/store/stored_object.h"

namespace ibismux::quarantine {

/// The requests during which leafs have ended, from the observations of this
/// daemon and from the store.
///
/// Holds at most `kMaxRequests` requests to bound its memory. Requests that are
/// not quarantined are evicted first, the oldest one first. Belongs to one
/// event loop; not thread safe. The times passed in may decrease, because the
/// clocks of hosts are adjusted.
class QuarantineTable {
 public:
  /// Each takes about 200 bytes.
  static constexpr std::size_t kMaxRequests = 512;
  /// Limit of objects in the store. Lower than `kMaxRequests`, because several
  /// daemons may add an object at the same time.
  static constexpr std::size_t kMaxStored = 256;

  /// A change that has not been written to the store yet.
  struct Change {
    RequestDigest digest;
    /// Absent if the request is cleared and its object is to be removed.
    std::optional<QuarantineRecord> record;
    store::Version stored_version = 0;  ///< 0 if there is no object.
    /// All daemons have this record, so only one of them has to write it.
    bool is_known_to_all = false;
  };

  [[nodiscard]] QuarantineState state(const RequestDigest& digest,
                                      UnixTime now) const noexcept;

  /// When the quarantine of a request ends. Precondition: it is quarantined.
  [[nodiscard]] UnixTime held_until(const RequestDigest& digest) const;

  /// Records that a leaf has ended while running the request, which no leaf has
  /// answered.
  /// @return The state of the request afterwards.
  QuarantineState on_crash(const RequestDigest& digest,
                           const std::string& leaf_run,
                           UnixTime now);

  /// Clears the request, because a leaf has answered it.
  /// @return Whether there was any evidence against it.
  bool on_answer(const RequestDigest& digest);

  /// Whether leafs have answered the request lately.
  [[nodiscard]] bool was_answered(const RequestDigest& digest) const {
    return this->answered.contains(digest);
  }

  /// @name Updates from the store
  /// @{
  /// An object was written. Changes that it doesn't contain remain to be
  /// written.
  void apply_object(const RequestDigest& digest,
                    const QuarantineRecord& record,
                    store::Version version,
                    UnixTime now);
  /// An object was removed, by another daemon or an operator.
  void apply_removal(const RequestDigest& digest);
  /// The store was restored from a backup that lacks the object, which is then
  /// written again.
  void apply_loss(const RequestDigest& digest);
  /// @}

  /// @name Changes to write to the store
  /// @{
  /// Sets the callback for each new change.
  void on_dirty(std::function<void()> notify_dirty) {
    this->notify_dirty = std::move(notify_dirty);
  }
  [[nodiscard]] std::vector<Change> changes() const;
  /// The change of `digest`, if there is one.
  [[nodiscard]] std::optional<Change> change(const RequestDigest& digest) const;
  /// `change` was written to the store with `version`; 0 if the object was
  /// removed.
  void mark_written(const Change& change, store::Version version);
  /// @}

  [[nodiscard]] std::size_t size() const noexcept { return this->rows.size(); }
  /// The request to remove from the store, if the store holds `kMaxStored`
  /// objects or more.
  [[nodiscard]] std::optional<Change> eviction_candidate() const;

 private:
  struct Row {
    QuarantineRecord record;
    store::Version stored_version = 0;
    bool dirty = false;
    bool cleared = false;  ///< The row is kept until its object is removed.
    bool lost = false;     ///< The restored store lacks the object.
    std::uint64_t insertion_order = 0;
  };
  using Rows = std::map<RequestDigest, Row>;

  [[nodiscard]] static Change change_of(const Rows::value_type& entry);

  Row& row(const RequestDigest& digest, UnixTime now);
  void mark_dirty(Row& row);
  void evict_if_full(UnixTime now);

  Rows rows;
  AnsweredRequests answered;
  std::uint64_t next_insertion_order = 0;
  std::function<void()> notify_dirty = [] {};
};

}  // namespace ibismux::quarantine

#endif  // IBISMUX_QUARANTINE_QUARANTINE_TABLE_H_
