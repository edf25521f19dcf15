#ifndef IBISMUX_RELEASE_RELEASE_WRITER_H_
#define IBISMUX_RELEASE_RELEASE_WRITER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/base/task.h"
#include "ibismux/base/time.h"
#include "ibismux/release/assembly.h"
#include "ibismux/release/candidate.h"
#include "ibismux/release/publisher_metrics.h"
#include "ibismux/release/release_store.h"
#include "ibismux/release/work_loop.h"
#include "ibismux/store/object_store.h"

namespace ibismux::release {

/// Writes the next release to the platform's store: its new chunks first, then
/// its new index chunks, then the head by a conditional update, which alone
/// decides.
///
/// Belongs to one event loop; not thread safe.
class ReleaseWriter {
 public:
  using WallClock = std::function<WallTime()>;

  /// Names of chunks that this writer's releases ceased to name, or wrote for
  /// a release that lost.
  using Retired = std::vector<std::string>;

  /// @param store,releases,metrics Outlive this.
  /// @param work Where releases are decided on, encoded and put in force.
  /// @param self Unique to this run of this daemon; begins publication ids.
  ReleaseWriter(store::ObjectStore& store,
                ReleaseStore& releases,
                PublisherMetrics& metrics,
                std::string self,
                std::chrono::milliseconds timeout,
                WallClock wall_clock,
                ReleaseLayout layout = {},
                WorkLoop work = nullptr);

  /// Publishes what of `view` can be accepted at once, if the release in force
  /// differs from that; on success the release store has it.
  ///
  /// Errors: kConflict where other publishers were faster time and again,
  /// kOverloaded where too many changes wait for the audit trail; else as of
  /// `ObjectStore`.
  /// @param view Outlives the call.
  /// @param audited Up to which sequence changes are in the audit trail; older
  /// ones need not stay in the head.
  /// @return Whether the release advanced; there may be more to accept then.
  [[nodiscard]] Task<Result<bool>> publish(const ObjectView& view,
                                           std::uint64_t audited);

  /// Takes the newest release out of the platform's store into the release
  /// store, where it is newer.
  [[nodiscard]] Task<Result<void>> refresh();

  /// What has been retired since the last call.
  [[nodiscard]] Retired take_retired() {
    return std::exchange(this->retired, {});
  }

 private:
  /// The head as it stands in the platform's store.
  struct KnownHead {
    bool known = false;
    Generation generation = 0;
    store::Version version = 0;
  };

  [[nodiscard]] Task<Result<void>> advance(Assembly assembly);
  [[nodiscard]] Task<Result<void>> put_chunk(Assembly::NewChunk chunk);
  [[nodiscard]] Task<Result<void>> put_head(const Assembly& assembly);
  [[nodiscard]] Task<Result<std::string>> get_chunk(std::string name);
  [[nodiscard]] Task<Result<void>> take(store::StoredObject object);
  [[nodiscard]] Head next_head(const ReleaseContents& base,
                               const ObjectView& view,
                               const Candidate& candidate,
                               std::uint64_t audited);
  [[nodiscard]] TimePoint deadline() const;

  store::ObjectStore& store;
  ReleaseStore& releases;
  PublisherMetrics& metrics;
  std::string self;
  std::chrono::milliseconds timeout;
  WallClock wall_clock;
  ReleaseLayout layout;
  WorkLoop work;
  std::uint64_t publications = 0;
  KnownHead head;
  Retired retired;
};

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_RELEASE_WRITER_H_
