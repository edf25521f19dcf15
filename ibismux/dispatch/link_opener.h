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

/// Opens links to leafs before calls need them: after the start, at new leafs,
/// for a new cut of the index, and again where a link was lost.
///
/// A query goes to all shards at once. Where links are opened on demand, the
/// first query of a daemon dials them all, and each daemon of a large fleet
/// sees few queries.
///
/// Dials are paced, so that calls at hand and leafs' slots, which a new
/// connection takes up for a moment, have room; and each daemon goes through
/// the leafs in an order of its own, so that daemons which start together don't
/// dial the same leaf at the same moment.
///
/// Belongs to one event loop; not thread safe.
class LinkOpener : public std::enable_shared_from_this<LinkOpener> {
 public:
  /// @param loop Outlives the opener.
  /// @param seed Of this daemon's order.
  LinkOpener(boost::asio::io_context& loop, std::uint64_t seed);

  /// Looks after the links of `leaf` from now on, until it is retired.
  void add(std::shared_ptr<Leaf> leaf);

  /// Begins. Called once.
  void start();

 private:
  void tick();
  /// Begins as many dials as one tick may. @return Whether there were any.
  bool open_some(TimePoint now);
  [[nodiscard]] static Task<void> open(std::shared_ptr<LinkOpener> self,
                                       std::shared_ptr<Leaf> leaf);

  boost::asio::io_context& loop;
  pcg32 random;
  std::vector<std::shared_ptr<Leaf>> leafs;  ///< In this daemon's order.
  std::size_t next = 0;                      ///< Where the next look begins.
  std::size_t opening = 0;                   ///< Dials under way.
  http::Timer timer;
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_LINK_OPENER_H_
