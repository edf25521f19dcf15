#ifndef IBISMUX_STORE_STORED_OBJECT_H_
#define IBISMUX_STORE_STORED_OBJECT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace ibismux::store {

/// Version of a stored object, and of the whole store: each write anywhere
/// takes a higher one. 0 means "does not exist".
///
/// A store that is restored from an older copy gives out its revisions again.
/// So the upper bits count the restores: a later version is higher all the
/// same, and one of an earlier era equals none of this one. In a store that
/// was never restored a version is its revision.
using Version = std::uint64_t;

/// @name The parts of a version. Thread safe.
/// @{
inline constexpr int kRevisionBits = 48;
/// So that a version fits a signed number between daemons.
inline constexpr std::uint64_t kMostEras = 1ULL << 15;

/// Precondition: `era` < kMostEras, `revision` < 2^kRevisionBits.
[[nodiscard]] constexpr Version make_version(std::uint64_t era,
                                             std::uint64_t revision) noexcept {
  return revision == 0 ? 0 : (era << kRevisionBits) | revision;
}
/// How often the store had been restored.
[[nodiscard]] constexpr std::uint64_t era_of(Version version) noexcept {
  return version >> kRevisionBits;
}
/// The store's own number.
[[nodiscard]] constexpr std::uint64_t revision_of(Version version) noexcept {
  return version & ((1ULL << kRevisionBits) - 1);
}
/// `ERA.REVISION`, for logs.
[[nodiscard]] inline std::string version_text(Version version) {
  return std::to_string(era_of(version)) + '.' +
         std::to_string(revision_of(version));
}
/// @}

/// One object as the platform keeps it. The value is opaque to the platform
/// and at most one megabyte.
struct StoredObject {
  std::string collection;
  std::string name;
  Version version = 0;
  std::string value;
};

/// A whole collection as of `version`.
struct Listing {
  Version version = 0;
  std::vector<StoredObject> objects;
};

/// What changed in a collection after some version. An object whose version is
/// set but that is `removed` was deleted by that write.
struct WatchBatch {
  struct Event {
    StoredObject object;
    bool removed = false;
    /// Set beside `removed` where nobody removed it: a store that was restored
    /// doesn't have it.
    bool lost = false;
  };
  Version version = 0;  ///< Where the next watch continues.
  std::vector<Event> events;
  /// The store no longer has the history that was asked for: list again.
  bool compacted = false;
};

}  // namespace ibismux::store

#endif  // IBISMUX_STORE_STORED_OBJECT_H_
