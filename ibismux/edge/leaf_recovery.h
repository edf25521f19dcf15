#ifndef IBISMUX_EDGE_LEAF_RECOVERY_H_
#define IBISMUX_EDGE_LEAF_RECOVERY_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "ibismux/base/task.h"
#include "ibismux/base/time.h"
#include "ibismux/checkpoint/leaf_checkpoint.h"
#include "ibismux/directory/leaf_directory.h"
#include "ibismux/edge/leaf_feed.h"
#include "ibismux/eventlog/forward.h"
#include "ibismux/routing/route_table.h"
#include "ibismux/store/object_store.h"

namespace ibismux::edge {

/// The current leafs as the checkpoint holds them. Thread safe.
[[nodiscard]] checkpoint::LeafCheckpoint running_leafs(
    const directory::LeafDirectory& directory);

/// The services of `table`'s routes of which `directory` has no leaf. Thread
/// safe.
[[nodiscard]] std::set<std::string> services_without_leafs(
    const routing::RouteTable& table,
    const directory::LeafDirectory& directory);

/// Adopts the leafs of the checkpoint whose entries the registry has lost, if
/// this daemon starts while some service has no leaf.
///
/// Belongs to one event loop; not thread safe.
class LeafRecovery : public std::enable_shared_from_this<LeafRecovery> {
 public:
  /// All references must outlive this object.
  /// @param on_expected Called with true while the checkpoint is read, and with
  /// false after its leafs were adopted or the read was given up.
  /// @param started When the process has started.
  LeafRecovery(boost::asio::io_context& loop,
               store::ObjectStore& store,
               std::string collection,
               const directory::LeafDirectory& directory,
               LeafFeed& leafs,
               std::function<void(bool)> on_expected,
               eventlog::EventLog& log,
               TimePoint started);

  /// To be called when the first configuration and the first listing are
  /// there; does nothing at further calls and after the start period.
  void start(const routing::RouteTable& table);

 private:
  [[nodiscard]] static Task<void> run(std::shared_ptr<LeafRecovery> self);
  /// Reads the stored object, also repeatedly, within the start period.
  [[nodiscard]] static Task<Result<store::StoredObject>> read(
      std::shared_ptr<LeafRecovery> self);
  void adopt(const checkpoint::LeafCheckpoint& checkpoint);

  boost::asio::io_context& loop;
  store::ObjectStore& store;
  const std::string collection;
  const directory::LeafDirectory& directory;
  LeafFeed& leafs;
  const std::function<void(bool)> on_expected;
  eventlog::EventLog& log;
  const TimePoint end;  ///< Of the start period.
  bool is_started = false;
};

}  // namespace ibismux::edge

#endif  // IBISMUX_EDGE_LEAF_RECOVERY_H_
