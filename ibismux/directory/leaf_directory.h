#ifndef IBISMUX_DIRECTORY_LEAF_DIRECTORY_H_
#define IBISMUX_DIRECTORY_LEAF_DIRECTORY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "ibismux/base/time.h"
#include "ibismux/directory/leaf_entry.h"

namespace ibismux::directory {

/// Receives the changes of a `LeafDirectory`. Called on the directory's thread.
class DirectoryListener {
 public:
  virtual ~DirectoryListener() = default;
  /// Called before and after the entries of a listing are reported one by one.
  /// @{
  virtual void on_listing_begin() {}
  virtual void on_listing_end() {}
  /// @}
  /// A leaf was added, has restarted, or its entry has changed.
  virtual void on_leaf_updated(const LeafEntry& entry) = 0;
  /// A leaf was removed. @param reason One word for the log.
  virtual void on_leaf_removed(const std::string& id,
                               std::string_view reason) = 0;
  /// An entry was ignored because the leaf had already written a newer one.
  virtual void on_outdated_entry(const LeafEntry&) {}
};

/// The set of current leafs, built from the registry's listings and changes.
///
/// The registry drops the entries of running leafs that can't reach it. A
/// missing entry around an outage of the registry is therefore no evidence that
/// the leaf has ended: the leaf is kept until `kReregistrationTime` after the
/// outage, by which time running leafs have registered again. Without this
/// rule, each outage of the registry would remove all leafs, and every request
/// would be refused.
///
/// A write that timed out at a leaf's host may still be applied seconds later
/// and overwrite newer ones. An entry of an earlier run, or of the same run
/// with a lower sequence number, is therefore ignored. Without this rule, a
/// leaf that is leaving would appear ready again and receive calls until its
/// process ends.
///
/// Not thread safe. The times passed in must not decrease.
class LeafDirectory {
 public:
  /// Time within which running leafs whose entries expired during an outage of
  /// the registry have registered again after its end; the registry's owners
  /// guarantee 2 s.
  static constexpr std::chrono::milliseconds kReregistrationTime{2000};

  /// How long the last entry of a removed leaf is kept in order to recognize
  /// its delayed writes. The longest delay that a store has been seen to cause
  /// is 6 s.
  static constexpr std::chrono::seconds kTombstoneRetention{30};

  /// @param listener Must outlive the directory.
  explicit LeafDirectory(DirectoryListener& listener) : listener(listener) {}

  /// @name The registry's content
  /// @{

  /// Replaces the content by a complete listing.
  void replace(const std::vector<LeafEntry>& entries, TimePoint now);
  /// Adds or changes one entry. An entry that lacks the start time that the
  /// leaf's previous entry had comes from another writer, and removes the leaf.
  void put(const LeafEntry& entry, TimePoint now);
  /// Handles the removal of one entry.
  /// @param last The removed entry, or null if it isn't known. If it belongs to
  /// an earlier run than the known one, the leaf is kept for
  /// `kReregistrationTime`, within which the later run writes its entry again.
  void remove(const std::string& id, TimePoint now, const LeafEntry* last);
  /// Adds leafs that may run although the registry has lost their entries.
  ///
  /// Each is kept until its entry arrives, its removal is reported, or
  /// `kReregistrationTime` has passed; a listing that lacks it doesn't remove
  /// it sooner. An outage of the registry extends that time once. Nothing is
  /// added if the registry has been available for that long. Known leafs
  /// are left out, and those that were removed lately unless `entries` has a
  /// newer entry of them.
  void adopt(const std::vector<LeafEntry>& entries, TimePoint now);
  /// Removes the leaf at once because its entry can't be read any more.
  void discard(const std::string& id, TimePoint now);
  /// @}

  /// @name The registry's availability
  /// @{
  /// The registry no longer answers.
  void registry_lost();
  /// The registry answers again.
  void registry_regained(TimePoint now);
  /// The registry has answered some daemon without interruption since `since`.
  /// Leafs whose entries were missing `kReregistrationTime` after that have
  /// ended, even if this daemon could not reach the registry for a while.
  void registry_available_since(TimePoint since);
  /// @}

  /// Removes the leafs without an entry whose grace period has ended. To be
  /// called at `next_expiry()`.
  void expire(TimePoint now);

  /// When `expire()` is due next; `TimePoint::max()` if never.
  [[nodiscard]] TimePoint next_expiry() const noexcept;

  [[nodiscard]] std::size_t size() const noexcept {
    return this->entries.size();
  }

  /// The current leafs, including those without an entry.
  [[nodiscard]] std::vector<LeafEntry> all() const;

  /// Whether the registry answers and has the entries of all current leafs.
  [[nodiscard]] bool is_complete() const noexcept {
    return !this->registry_is_down && this->missing.empty();
  }

  /// Rises with each change of `all()` other than that of a sequence number.
  [[nodiscard]] std::uint64_t revision() const noexcept {
    return this->changes;
  }

 private:
  /// The last entry of a removed leaf and the time of the removal.
  struct Tombstone {
    LeafEntry entry;
    TimePoint at;
  };

  [[nodiscard]] bool is_adopted(const std::string& id) const;
  /// Whether the leaf of a missing entry may still be running.
  [[nodiscard]] bool in_grace_period(TimePoint now) const noexcept;
  /// Whether the leaf has already written a newer entry than this one.
  [[nodiscard]] bool is_outdated(const LeafEntry& entry) const;
  /// Whether the leaf was removed lately, and not by an earlier entry than
  /// this one.
  [[nodiscard]] bool was_removed(const LeafEntry& entry) const;
  [[nodiscard]] bool lacks_known_start_time(const LeafEntry& entry) const;
  void erase(const std::string& id, TimePoint now, std::string_view reason);
  void add_tombstone(LeafEntry entry, TimePoint now);

  DirectoryListener& listener;
  std::map<std::string, LeafEntry> entries;  ///< By id.
  /// Why a leaf is kept although the registry has no entry of it.
  enum class Cause : unsigned char {
    kOutage,
    kLaterRun,  ///< The removed entry belonged to an earlier run.
    kAdopted,
    kAdoptedBeforeOutage,  ///< Its time has been extended by an outage.
  };
  struct Missing {
    TimePoint removal_at;
    Cause cause = Cause::kOutage;
  };
  std::map<std::string, Missing> missing;  ///< By id.
  std::map<std::string, Tombstone>
      tombstones;  ///< By id, for `kTombstoneRetention`.
  std::deque<std::string> tombstone_order;  ///< The same ids, oldest first.
  std::uint64_t changes = 0;
  bool registry_is_down = false;
  /// See `registry_available_since()`, if it was called since the last outage.
  std::optional<TimePoint> available_since;
  /// Running leafs have registered again by this time.
  TimePoint grace_period_end = TimePoint::min();
};

}  // namespace ibismux::directory

#endif  // IBISMUX_DIRECTORY_LEAF_DIRECTORY_H_
