#ifndef IBISMUX_MEMBERSHIP_WIDE_LINKS_H_
#define IBISMUX_MEMBERSHIP_WIDE_LINKS_H_

#include <functional>
#include <set>
#include <string>

#include "ibismux/membership/forward.h"

namespace ibismux::membership {

/// A link is wide if it is at least this many times as wide as others. Handing
/// work over costs a hop, which a link that is only a little wider does not
/// make up for.
inline constexpr double kWideLinkRatio = 3;

/// Members that serve and whose network link is several times as wide as the
/// median of their zone: work that fills a link is theirs. None where all are
/// alike, or don't say how wide their links are. Views that agree give the same
/// members on all daemons. Thread safe.
[[nodiscard]] std::set<std::string, std::less<>> wide_links(
    const MembershipView& view);

}  // namespace ibismux::membership

#endif  // IBISMUX_MEMBERSHIP_WIDE_LINKS_H_
