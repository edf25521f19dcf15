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

/// A collection of the store as this daemon knows it, whoever told it.
///
/// Its version only ever rises: an update that is older than what is known,
/// from a slow watch or a peer that lags, changes nothing. Not thread safe.
class CollectionMirror {
 public:
  explicit CollectionMirror(std::string collection)
      : collection(std::move(collection)) {}

  [[nodiscard]] const std::string& name() const noexcept {
    return this->collection;
  }
  /// The version of the store up to which all is known; 0: nothing yet.
  [[nodiscard]] store::Version version() const noexcept { return this->known; }

  /// Takes an update in.
  /// @return What has changed by it, for those who follow: never the whole but
  /// for the first time. Nothing where the update is old, or where there is a
  /// gap between what is known and what it begins with.
  [[nodiscard]] std::optional<Update> take(Update update, TimePoint now);

  /// Whether `update` begins behind what is known, so that changes are missing.
  [[nodiscard]] bool has_gap(const Update& update) const noexcept {
    return !update.whole && update.since > this->known;
  }

  /// @name After the store was restored from an older copy
  ///
  /// What others had written to it since they write again. Until then objects
  /// that the copy lacks are kept: they stand for leafs that live and for what
  /// operators want.
  /// @{
  static constexpr std::chrono::milliseconds kWrittenAgainWithin{3000};

  /// When `settle()` is due; nothing where all objects are of this era.
  [[nodiscard]] std::optional<TimePoint> settles_at() const noexcept {
    return this->settle_at;
  }
  /// Drops what was not written again. @return Its removals.
  [[nodiscard]] std::vector<store::WatchBatch::Event> settle();
  /// @}

  /// All that is known.
  [[nodiscard]] Update whole() const;

  /// What has changed after `version`, or the whole where that is too long ago.
  /// A fleet whose daemons all ask a watcher for the whole fills its link for
  /// seconds, and none of them gets an answer in time.
  [[nodiscard]] Update since(store::Version version) const;

 private:
  /// Changes that are kept for those who fell behind: some tens of seconds.
  static constexpr std::size_t kMostRecent = 64;

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
