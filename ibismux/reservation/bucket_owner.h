#ifndef IBISMUX_RESERVATION_BUCKET_OWNER_H_
#define IBISMUX_RESERVATION_BUCKET_OWNER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "ibismux/base/ids.h"
#include "ibismux/membership/forward.h"

namespace ibismux::reservation {

/// Who commits the bucket's operations, first choice first: the serving members
/// by rendezvous hashing, at most `most` of them. Daemons whose views differ
/// may name different ones; that costs conflicts, never safety. Thread safe.
[[nodiscard]] std::vector<std::string> bucket_owners(
    const membership::MembershipView& view,
    std::uint32_t bucket,
    std::size_t most);

/// Whether that run of a daemon has ended, as far as `view` knows. Thread safe.
[[nodiscard]] bool has_ended(const membership::MembershipView& view,
                             const Incarnation& incarnation);

}  // namespace ibismux::reservation

#endif  // IBISMUX_RESERVATION_BUCKET_OWNER_H_
