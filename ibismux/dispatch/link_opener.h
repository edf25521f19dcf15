#ifndef IBISMUX_DISPATCH_LINK_OPENER_H_
#define IBISMUX_DISPATCH_LINK_OPENER_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <pcg_random.hpp>
#include <vector>

#include "ibismux/base/task.h"
#include "ibismux/base/time.h"
#include "ibismux/dispatch/forward.h"
#include "ibismux/http/socket.h"

namespace ibismux::dispatch {

/// Opens links to leafs before calls need them: after the daemon starts, to new
/// leafs, for a new sharding of the index, and as a replacement for lost links.
///
/// A query goes to all shards at once. If links were opened on demand, the
/// first query of a daemon would dial all of them, and each daemon of a large
/// fleet gets few queries.
///
/// Dials are paced, because they compete with current calls and a new
/// connection occupies a slot of the leaf for a moment. Each daemon dials the
/// leafs in its own random order, so that daemons that start together don't
/// dial the same leaf at the same time.
///
/// Belongs to one event loop; not thread safe.
class LinkOpener : public std::enable_shared_from_this<LinkOpener> {
 public:
  /// @param loop Must outlive the opener.
  /// @param seed Determines the order in which this daemon dials the leafs.
  LinkOpener(boost::asio::io_context& loop, std::uint64_t seed);

  /// Opens links to `leaf` from now on, until it is retired.
  void add(std::shared_ptr<Leaf> leaf);

  /// Starts opening links. Must be called at most once.
  void start();

 private:
  void tick();
  /// Starts the dials of one tick. @return Whether any dial was started, or the
  /// limit of concurrent dials is reached.
  bool start_dials(TimePoint now);
  [[nodiscard]] static Task<void> open(std::shared_ptr<LinkOpener> self,
                                       std::shared_ptr<Leaf> leaf);

  boost::asio::io_context& loop;
  pcg32 random;
  std::vector<std::shared_ptr<Leaf>> leafs;  ///< In the order of this daemon.
  std::size_t last_examined = 0;             ///< Index in `leafs`.
  std::size_t dials_in_progress = 0;
  http::Timer timer;
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_LINK_OPENER_H_
