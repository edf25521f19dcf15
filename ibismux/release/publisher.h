#ifndef IBISMUX_RELEASE_PUBLISHER_H_
#define IBISMUX_RELEASE_PUBLISHER_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "ibismux/base/ids.h"
#include "ibismux/base/time.h"
#include "ibismux/release/object_key.h"
#include "ibismux/release/publisher_settings.h"
#include "ibismux/release/release_store.h"
#include "ibismux/release/work_loop.h"
#include "ibismux/store/object_store.h"

namespace prometheus {
class Registry;
}

namespace ibismux::release {

/// This daemon's part in turning what operators write into releases.
///
/// Every daemon may publish; the conditional update of the head serialises
/// them. Ranks only keep them from working at the same time: the daemons of the
/// lowest ranks watch the operators' objects, and each waits a little longer
/// than the one before it. A wrong rank costs calls, never correctness.
///
/// Thread safe.
class Publisher {
 public:
  /// The place of this daemon in an order of the fleet, from 0.
  using Rank = std::function<std::size_t()>;
  using WallClock = std::function<WallTime()>;

  /// @param loop,store,releases,registry Outlive this; the work runs on `loop`.
  /// @param rank Is called on `loop`.
  /// @param work Where releases are decided on, encoded and put in force.
  Publisher(boost::asio::io_context& loop,
            store::ObjectStore& store,
            ReleaseStore& releases,
            prometheus::Registry& registry,
            PublisherSettings settings,
            const Incarnation& self,
            Rank rank,
            WallClock wall_clock = std::chrono::system_clock::now,
            WorkLoop work = nullptr);
  ~Publisher();
  Publisher(const Publisher&) = delete;
  Publisher& operator=(const Publisher&) = delete;

  /// Begins. Precondition: not started.
  void start();

  /// Says that version `version` of `key` was written through this daemon, so
  /// that it is published even if those who watch are gone.
  void nudge(const ObjectKey& key, store::Version version);

  /// Ends the work at its next step; no head update is begun after it.
  void stop();

 private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_PUBLISHER_H_
