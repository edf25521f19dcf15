#ifndef IBISMUX_CHECKPOINT_LOST_LEAFS_H_
#define IBISMUX_CHECKPOINT_LOST_LEAFS_H_

#include <string>
#include <vector>

#include "ibismux/checkpoint/forward.h"
#include "ibismux/directory/leaf_entry.h"

namespace ibismux::checkpoint {

/// The leafs of a checkpoint whose entries the registry has probably lost,
/// although they run: all that are missing of a service of which fewer than
/// half are listed. Where most leafs of a service are listed, the others have
/// left.
///
/// Answers the load of a registry that was away for longer than its entries
/// live, around a start of all daemons. Thread safe.
[[nodiscard]] std::vector<directory::LeafEntry> lost_leafs(
    const LeafCheckpoint& checkpoint,
    const std::vector<directory::LeafEntry>& listed);

}  // namespace ibismux::checkpoint

#endif  // IBISMUX_CHECKPOINT_LOST_LEAFS_H_
