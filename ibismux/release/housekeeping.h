#ifndef IBISMUX_RELEASE_HOUSEKEEPING_H_
#define IBISMUX_RELEASE_HOUSEKEEPING_H_

#include <memory>
#include <string>
#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/base/task.h"
#include "ibismux/release/audit_trail.h"
#include "ibismux/release/garbage.h"
#include "ibismux/release/object_mirror.h"
#include "ibismux/release/publisher_metrics.h"
#include "ibismux/release/release_store.h"

namespace ibismux::release {

/// What a publisher does after the head has advanced. Nothing of it decides
/// what is in force; what a publisher that dies leaves undone, the next one
/// finds and does.
///
/// Belongs to one event loop; not thread safe.
class Housekeeping {
 public:
  /// @param store,releases,metrics Outlive this.
  Housekeeping(store::ObjectStore& store,
               ReleaseStore& releases,
               PublisherMetrics& metrics,
               std::chrono::milliseconds timeout,
               Generation garbage_grace);

  /// Records the changes that the head in force shows in the audit trail,
  /// removes the tombstones in `view` whose deletion is in force, and chunks
  /// that no release names any more.
  /// @param view Outlives the call.
  /// @return The first error; the rest is done all the same.
  [[nodiscard]] Task<Result<void>> run(const ObjectView& view);

  /// Chunks that are no longer named.
  void retire(const std::vector<std::string>& names);

  /// Looks through the whole collection for chunks that nobody names, with the
  /// next `run`. To be asked for when this daemon takes over.
  void sweep_next() { this->sweep_due = true; }

  /// As of `AuditTrail::recorded`.
  [[nodiscard]] std::uint64_t recorded() const noexcept {
    return this->audit.recorded();
  }

 private:
  [[nodiscard]] Task<Result<void>> record();
  [[nodiscard]] Task<Result<void>> remove_tombstones(const ObjectView& view);
  [[nodiscard]] Task<Result<void>> sweep();
  [[nodiscard]] Task<Result<void>> remove_chunks();
  [[nodiscard]] Task<Result<void>> remove_chunk(std::string name);
  [[nodiscard]] TimePoint deadline() const;

  store::ObjectStore& store;
  ReleaseStore& releases;
  PublisherMetrics& metrics;
  std::chrono::milliseconds timeout;
  AuditTrail audit;
  Garbage garbage;
  bool sweep_due = false;
};

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_HOUSEKEEPING_H_
