#ifndef IBISMUX_RELEASE_GARBAGE_H_
#define IBISMUX_RELEASE_GARBAGE_H_

#include <map>
#include <string>
#include <vector>

#include "ibismux/release/release_contents.h"
#include "ibismux/store/stored_object.h"

namespace ibismux::release {

/// Decides which chunks and index chunks may be removed from the platform's
/// store.
///
/// A chunk is garbage for ever once some head of its own or a later generation
/// doesn't name it: a later head names only chunks of the head before it, and
/// new ones whose names carry its own, higher generation. It is the same where
/// an index chunk stands between them: one that stays names what it named, and
/// a new one what the head before named or what is new itself. So a publisher
/// that knows an old head, or a daemon that was paused, can't remove a chunk in
/// use. The grace is only for readers that are still fetching an older release.
/// Not thread safe.
class Garbage {
 public:
  /// @param grace For how many generations a chunk is kept after its last use.
  explicit Garbage(Generation grace) : grace(grace) {}

  /// Notes chunks that are no longer named, as of generation `now`.
  void add(const std::vector<std::string>& names, Generation now);

  /// Notes what of a whole listing of the collection `releases` isn't named by
  /// `newest`: what publishers left behind that died.
  void sweep(const store::Listing& listing, const ReleaseContents& newest);

  /// The names that may be removed while `newest` is the newest release that is
  /// known; they are forgotten here.
  [[nodiscard]] std::vector<std::string> due(const ReleaseContents& newest);

 private:
  Generation grace;
  std::map<std::string, Generation> unused_since;
};

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_GARBAGE_H_
