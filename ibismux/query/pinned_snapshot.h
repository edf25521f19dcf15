#ifndef IBISMUX_QUERY_PINNED_SNAPSHOT_H_
#define IBISMUX_QUERY_PINNED_SNAPSHOT_H_

#include <memory>
#include <vector>

#include "ibismux/query/forward.h"
#include "ibismux/release/forward.h"

namespace ibismux::query {

/// A snapshot of a release that is kept alive while a query uses it. The query
/// reads only from here, so a release that comes into force meanwhile can't mix
/// into its answer.
struct PinnedSnapshot {
  std::shared_ptr<const release::Release> release;
  std::shared_ptr<const release::SnapshotView> snapshot;
  /// In the same order as the release's leafs.
  std::shared_ptr<const std::vector<std::shared_ptr<LeafStats>>> leafs;
};

}  // namespace ibismux::query

#endif  // IBISMUX_QUERY_PINNED_SNAPSHOT_H_
