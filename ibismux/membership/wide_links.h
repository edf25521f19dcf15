#ifndef IBISMUX_MEMBERSHIP_WIDE_LINKS_H_
#define IBISMUX_MEMBERSHIP_WIDE_LINKS_H_

#include <functional>
#include <set>
#include <string>

#include "ibismux/membership/forward.h"

namespace ibismux::membership {

/// Members that serve and whose network link is several times as wide as the
/// median of their zone: work that fills a link is theirs. None where all are
/// alike, or don't say how wide their links are. Views that agree give the same
/// members on all daemons. Thread safe.
[[nodiscard]] std::set<std::string, std::less<>> wide_links(
    const MembershipView& view);

}  // namespace ibismux::membership

#endif  // IBISMUX_MEMBERSHIP_WIDE_LINKS_H_
