#ifndef IBISMUX_DIRECTORY_LEAF_DIRECTORY_H_
#define IBISMUX_DIRECTORY_LEAF_DIRECTORY_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "ibismux/base/time.h"
#include "ibismux/directory/leaf_entry.h"

namespace ibismux::directory {

/// Is told what changes in a `LeafDirectory`. Called on the directory's thread.
class DirectoryListener {
 public:
  virtual ~DirectoryListener() = default;
  /// A leaf is new, or says something else of itself.
  virtual void on_leaf(const LeafEntry& entry) = 0;
  /// A leaf is gone. @param reason One word for the log.
  virtual void on_leaf_gone(const std::string& instance,
                            std::string_view reason) = 0;
};

/// Which leafs there are now, from the registry's lists and changes.
///
/// The registry drops the entries of living leafs when it can't hear them, so
/// an entry that vanishes around an outage of the registry says little: it is
/// kept until `kReturnTime` after the outage, by when living leafs are back.
/// Notice where this is missing: with each outage of the registry all leafs
/// seem gone and every request is refused.
///
/// Not thread safe. The times given never go back.
class LeafDirectory {
 public:
  /// Entries that lapsed while the registry was away are back this long after
  /// its return, if their leafs live; 2 s is what the registry's owners
  /// promise.
  static constexpr std::chrono::milliseconds kReturnTime{2000};

  /// @param listener Outlives the directory.
  explicit LeafDirectory(DirectoryListener& listener) : listener(listener) {}

  /// @name The registry's word
  /// @{

  /// All entries as of now.
  void replace(const std::vector<LeafEntry>& entries, TimePoint now);
  /// One entry is new or has changed.
  void put(const LeafEntry& entry);
  /// One entry was removed.
  void remove(const std::string& instance, TimePoint now);
  /// @}

  /// @name The registry's health
  /// @{
  void registry_lost();
  /// The registry answers again.
  void registry_regained(TimePoint now);
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
  /// Whether a missing entry may be that of a living leaf.
  [[nodiscard]] bool in_doubt(TimePoint now) const noexcept;
  void erase(const std::string& instance, std::string_view reason);

  DirectoryListener& listener;
  std::map<std::string, LeafEntry> entries;
  std::set<std::string> missing;  ///< Kept without an entry in the registry.
  bool lost = false;
  TimePoint settled_at = TimePoint::min();  ///< End of the doubt.
};

}  // namespace ibismux::directory

#endif  // IBISMUX_DIRECTORY_LEAF_DIRECTORY_H_
