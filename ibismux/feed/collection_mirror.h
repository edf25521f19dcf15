#ifndef IBISMUX_FEED_COLLECTION_MIRROR_H_
#define IBISMUX_FEED_COLLECTION_MIRROR_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ibismux/base/time.h"
#include "ibismux/feed/messages.h"
#include "ibismux/store/stored_object.h"

namespace ibismux::feed {

/// This daemon's copy of a collection of the store, whether its updates came
/// from the store or from peers.
///
/// The version never decreases: an older update, from a slow watch or a lagging
/// peer, is ignored. Not thread safe.
class CollectionMirror {
 public:
  explicit CollectionMirror(std::string collection)
      : collection(std::move(collection)) {}

  [[nodiscard]] const std::string& name() const noexcept {
    return this->collection;
  }
  /// The version of the store up to which the copy is complete; 0 if it is
  /// still empty.
  [[nodiscard]] store::Version version() const noexcept { return this->known; }

  /// Applies an update.
  /// @return The resulting changes, for observers and peers; a complete listing
  /// only the first time. Nothing if the update is old, or if there is a gap
  /// between the known version and the start of the update.
  [[nodiscard]] std::optional<Update> apply(Update update, TimePoint now);

  /// Whether `update` starts after the known version, so that the changes in
  /// between are missing.
  [[nodiscard]] bool has_gap(const Update& update) const noexcept {
    return !update.whole && update.since > this->known;
  }

  /// @name After the store was restored from an older copy
  ///
  /// Writers repeat what they had written after the copy was made. Until then
  /// objects that the copy lacks are kept, because they describe running leafs
  /// and the configuration that operators want.
  /// @{
  static constexpr std::chrono::milliseconds kRestoreGracePeriod{3000};

  /// When `settle()` is due; nothing if all objects belong to the current era.
  [[nodiscard]] std::optional<TimePoint> settles_at() const noexcept {
    return this->settle_at;
  }
  /// Removes the objects that were not written again. @return The removals.
  [[nodiscard]] std::vector<store::WatchBatch::Event> settle();
  /// @}

  /// The complete content.
  [[nodiscard]] Update whole() const;

  /// The changes after `version`, or the complete content if that version is
  /// too old. If all daemons of a fleet asked a watcher for the complete
  /// content, the answers would saturate its link for seconds and none would
  /// arrive in time.
  [[nodiscard]] Update since(store::Version version) const;

 private:
  /// Updates kept for peers that lag; they cover some tens of seconds.
  static constexpr std::size_t kMaxRecentUpdates = 64;

  [[nodiscard]] bool is_of_earlier_era(
      const store::StoredObject& object) const noexcept {
    return store::era_of(object.version) < store::era_of(this->known);
  }
  [[nodiscard]] Update difference(const Update& whole) const;
  void remember(const Update& update);

  const std::string collection;
  store::Version known = 0;
  std::optional<TimePoint> settle_at;
  std::deque<Update> recent;
  std::map<std::string, store::StoredObject, std::less<>> objects;
};

}  // namespace ibismux::feed

#endif  // IBISMUX_FEED_COLLECTION_MIRROR_H_
