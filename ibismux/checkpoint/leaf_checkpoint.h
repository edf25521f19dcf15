#ifndef IBISMUX_CHECKPOINT_LEAF_CHECKPOINT_H_
#define IBISMUX_CHECKPOINT_LEAF_CHECKPOINT_H_

#include <string>
#include <string_view>
#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/directory/leaf_entry.h"

namespace ibismux::checkpoint {

/// The leafs that were running when the checkpoint was written.
struct LeafCheckpoint {
  /// Without leafs that were draining. `warmup_left` isn't kept.
  std::vector<directory::LeafEntry> leafs;
};

/// Whether both hold the same runs of leafs, at the same addresses and with the
/// same slots, in any order. Sequence numbers may differ: leafs raise them with
/// each entry. Thread safe.
[[nodiscard]] bool have_same_leafs(const LeafCheckpoint& one,
                                   const LeafCheckpoint& other);

/// @name Encoding as the value of an object in the store: JSON, by service.
/// Thread safe.
/// @{
[[nodiscard]] std::string encode(const LeafCheckpoint& checkpoint);
/// Members that aren't known are ignored. Errors: kProtocolError.
[[nodiscard]] Result<LeafCheckpoint> decode_leaf_checkpoint(
    std::string_view value);
/// @}

}  // namespace ibismux::checkpoint

#endif  // IBISMUX_CHECKPOINT_LEAF_CHECKPOINT_H_
