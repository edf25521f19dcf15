#ifndef IBISMUX_RELEASE_CANDIDATE_H_
#define IBISMUX_RELEASE_CANDIDATE_H_

#include <cstdint>
#include <vector>

#include "ibismux/release/object_mirror.h"
#include "ibismux/release/release_contents.h"

namespace ibismux::release {

/// How many changes one release accepts: they stand in its head until they are
/// in the audit trail, and a head must fit into one value of the platform.
inline constexpr std::size_t kMostChangesAtOnce = 500;

/// What the release after some base should hold.
struct Candidate {
  ObjectSet objects;
  RejectionSet rejections;
  std::vector<Change> changes;  ///< Newly accepted, numbered on from the base.
  bool differs = false;         ///< From the base, in any of them.
};

/// Decides which of the objects in `view` to accept on top of `base`.
///
/// What is in force stays in force unless something newer is accepted in its
/// place. The newer objects are taken all together if they are valid together.
/// Where they are not, those with a part in a violation are left out, the
/// latest write first, until the rest is valid; then each of them is tried
/// again, the earliest write first. Past `kMostChangesAtOnce`, those that
/// others are built on go first and the rest waits for a later release. So of
/// two objects that are valid alone but not together, the one written first is
/// accepted, whichever daemon decides.
///
/// A pure function: the same base and view always give the same candidate.
/// Precondition: `view.version >= base.head.objects_version`, or an object that
/// the view doesn't know yet would count as deleted. Thread safe.
/// @param now_ms Wall-clock time, for changes that don't tell their own.
[[nodiscard]] Candidate decide(const ReleaseContents& base,
                               const ObjectView& view,
                               std::int64_t now_ms);

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_CANDIDATE_H_
