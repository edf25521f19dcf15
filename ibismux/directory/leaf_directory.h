#ifndef IBISMUX_DIRECTORY_LEAF_DIRECTORY_H_
#define IBISMUX_DIRECTORY_LEAF_DIRECTORY_H_

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "ibismux/base/time.h"
#include "ibismux/directory/leaf_entry.h"

namespace ibismux::directory {

/// Receives what changes in a `LeafDirectory`. Called on the directory's
/// thread.
class DirectoryListener {
 public:
  virtual ~DirectoryListener() = default;
  /// All entries of a listing are about to be told, one by one, and have been.
  /// @{
  virtual void on_listing_begin() {}
  virtual void on_listing_end() {}
  /// @}
  /// A leaf is new, has started again, or says something else of itself.
  virtual void on_leaf(const LeafEntry& entry) = 0;
  /// A leaf is gone. @param reason One word for the log.
  virtual void on_leaf_gone(const std::string& id, std::string_view reason) = 0;
  /// An entry was passed over: the leaf has written a newer one before.
  virtual void on_outdated_entry(const LeafEntry&) {}
};

/// Which leafs there are now, from the registry's lists and changes.
///
/// The registry drops the entries of living leafs when they can't reach it, so
/// an entry that vanishes around an outage of the registry says little: it is
/// kept until `kReturnTime` after the outage, by when living leafs are back.
/// Notice where this is missing: with each outage of the registry all leafs
/// seem gone and every request is refused.
///
/// A write that a leaf's host gave up on may still be carried out seconds
/// later, over newer ones. An entry of an earlier run, or of the same run with
/// a lower number, is passed over. Notice where this is missing: a leaf that
/// leaves is ready again, and gets calls up to the moment at which it ends.
///
/// Not thread safe. The times given never go back.
class LeafDirectory {
 public:
  /// Entries that lapsed while the registry was away are back this long after
  /// its return, if their leafs live; 2 s is what the registry's owners
  /// promise.
  static constexpr std::chrono::milliseconds kReturnTime{2000};

  /// For how long the last entry of a leaf that is gone is remembered, to know
  /// its late writes: the longest that a store is known to hold one back is 6
  /// s.
  static constexpr std::chrono::seconds kRememberGone{30};

  /// @param listener Outlives the directory.
  explicit LeafDirectory(DirectoryListener& listener) : listener(listener) {}

  /// @name The registry's content
  /// @{

  /// All entries as of now.
  void replace(const std::vector<LeafEntry>& entries, TimePoint now);
  /// One entry is new or has changed. One that no longer says when its leaf
  /// started is another writer's, and discards the leaf.
  void put(const LeafEntry& entry, TimePoint now);
  /// One entry was removed.
  /// @param last What it held, where that is known: if that is of an earlier
  /// run than the one in use, the later run writes its entry anew.
  void remove(const std::string& id, TimePoint now, const LeafEntry* last);
  /// One entry can't be read any more: its leaf isn't used, at once.
  void discard(const std::string& id, TimePoint now);
  /// @}

  /// @name The registry's health
  /// @{
  void registry_lost();
  /// The registry answers again.
  void registry_regained(TimePoint now);
  /// The registry has answered somebody without a break since then. What was
  /// missing from it `kReturnTime` later is gone, though this daemon could not
  /// reach it for a while.
  void registry_unbroken_since(TimePoint since);
  /// @}

  /// Takes the entries that were kept too long as gone. To be called at
  /// `next_expiry()`.
  void expire(TimePoint now);

  /// When `expire()` has something to do; max: never.
  [[nodiscard]] TimePoint next_expiry() const noexcept;

  [[nodiscard]] std::size_t size() const noexcept {
    return this->entries.size();
  }

 private:
  /// The last entry of a leaf that is gone.
  struct Gone {
    LeafEntry entry;
    TimePoint at;
  };

  /// Whether a missing entry may be that of a living leaf.
  [[nodiscard]] bool is_uncertain(TimePoint now) const noexcept;
  /// Whether the leaf has written a newer entry than this one before.
  [[nodiscard]] bool is_outdated(const LeafEntry& entry) const;
  [[nodiscard]] bool has_lost_its_start(const LeafEntry& entry) const;
  void erase(const std::string& id, TimePoint now, std::string_view reason);
  void remember_gone(LeafEntry entry, TimePoint now);

  DirectoryListener& listener;
  std::map<std::string, LeafEntry> entries;  ///< By id.
  /// A leaf that is kept without an entry in the registry.
  struct Missing {
    TimePoint until;
    /// Not for an outage, but since the entry that was removed was of an
    /// earlier run.
    bool was_of_earlier_run = false;
  };
  std::map<std::string, Missing> missing;  ///< By id.
  std::map<std::string, Gone> gone;        ///< By id, for `kRememberGone`.
  std::deque<std::string> gone_in_order;   ///< The same ids, the oldest first.
  bool lost = false;
  TimePoint settled_at = TimePoint::min();  ///< Living leafs are back by then.
};

}  // namespace ibismux::directory

#endif  // IBISMUX_DIRECTORY_LEAF_DIRECTORY_H_
