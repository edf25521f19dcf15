#ifndef IBISMUX_QUARANTINE_QUARANTINE_TABLE_H_
#define IBISMUX_QUARANTINE_QUARANTINE_TABLE_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "ibismux/quarantine/quarantine_record.h"
#include "ibismux/quarantine/request_digest.h"
#include "ibismux/store/stored_object.h"

namespace ibismux::quarantine {

/// The requests under which leafs have ended, by what this daemon saw and what
/// it was told by the store.
///
/// Holds at most `kMostRequests`, however many different ones end leafs:
/// suspects go first, and the oldest of them. Belongs to one event loop; not
/// thread safe. The times given may go back: hosts' clocks are set.
class QuarantineTable {
 public:
  /// Of some 200 bytes each.
  static constexpr std::size_t kMostRequests = 512;
  /// Objects in the store; fewer, as several daemons may add one at a time.
  static constexpr std::size_t kMostStored = 256;

  /// A change that the store doesn't know of yet.
  struct Change {
    RequestDigest digest;
    /// Absent: the request is cleared, and its object is to be removed.
    std::optional<QuarantineRecord> record;
    store::Version stored = 0;  ///< Version of the object; 0: there is none.
    /// All daemons know of it: one of them has to write it.
    bool is_known_to_all = false;
  };

  [[nodiscard]] Standing standing(const RequestDigest& digest,
                                  UnixTime now) const noexcept;

  /// When a request that is quarantined may come back. Precondition: it is.
  [[nodiscard]] UnixTime held_until(const RequestDigest& digest) const;

  /// A leaf has ended under the request, and no leaf has answered it.
  /// @return Its standing from here on.
  Standing on_crash(const RequestDigest& digest,
                    const std::string& leaf_run,
                    UnixTime now);

  /// A leaf has answered the request: it is cleared. @return Whether anything
  /// was held against it.
  bool on_answer(const RequestDigest& digest);

  /// @name What the store says
  /// @{
  /// An object was written. A change that it doesn't hold is kept as one.
  void take(const RequestDigest& digest,
            const QuarantineRecord& record,
            store::Version version,
            UnixTime now);
  /// An object was removed, by another daemon or an operator.
  void take_removal(const RequestDigest& digest);
  /// The store was restored from a copy without the object: it is written
  /// again.
  void take_loss(const RequestDigest& digest);
  /// @}

  /// @name Changes to be written
  /// @{
  /// Called when there is one more.
  void on_dirty(std::function<void()> notify) {
    this->notify = std::move(notify);
  }
  [[nodiscard]] std::vector<Change> changes() const;
  /// The one of `digest`, if there is any.
  [[nodiscard]] std::optional<Change> change(const RequestDigest& digest) const;
  /// `change` stands in the store, as `version`; 0: removed.
  void written(const Change& change, store::Version version);
  /// @}

  [[nodiscard]] std::size_t size() const noexcept { return this->rows.size(); }
  /// The request to be removed from the store where it holds more than
  /// `kMostStored`.
  [[nodiscard]] std::optional<Change> surplus() const;

 private:
  struct Row {
    QuarantineRecord record;
    store::Version stored = 0;
    bool dirty = false;
    bool cleared = false;  ///< Kept until its object is removed.
    bool lost = false;     ///< By a store that was restored.
    std::uint64_t order = 0;
  };
  using Rows = std::map<RequestDigest, Row>;

  [[nodiscard]] static Change change_of(const Rows::value_type& entry);

  Row& row(const RequestDigest& digest, UnixTime now);
  void mark_dirty(Row& row);
  void make_room(UnixTime now);

  Rows rows;
  std::uint64_t next_order = 0;
  std::function<void()> notify = [] {};
};

}  // namespace ibismux::quarantine

#endif  // IBISMUX_QUARANTINE_QUARANTINE_TABLE_H_
