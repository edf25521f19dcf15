#ifndef IBISMUX_QUERY_PIN_H_
#define IBISMUX_QUERY_PIN_H_

#include <memory>
#include <vector>

#include "ibismux/query/forward.h"
#include "ibismux/release/forward.h"

namespace ibismux::query {

/// One snapshot of one release, held for as long as a query reads it. All that
/// a query touches comes from here, so a release that is swapped meanwhile
/// can't mix into its answer.
struct Pin {
  std::shared_ptr<const release::Release> release;
  std::shared_ptr<const release::SnapshotView> snapshot;
  /// At the same positions as the release's leafs.
  std::shared_ptr<const std::vector<std::shared_ptr<LeafStats>>> leafs;
};

}  // namespace ibismux::query

#endif  // IBISMUX_QUERY_PIN_H_
