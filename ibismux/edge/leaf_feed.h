#ifndef IBISMUX_EDGE_LEAF_FEED_H_
#define IBISMUX_EDGE_LEAF_FEED_H_

#include <prometheus/counter.h>

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "ibismux/directory/leaf_directory.h"
#include "ibismux/edge/adapters.h"
#include "ibismux/eventlog/forward.h"
#include "ibismux/feed/feed_observer.h"
#include "ibismux/http/socket.h"

namespace prometheus {
class Registry;
}  // namespace prometheus

namespace ibismux::edge {

/// Keeps the directory of leafs at what the registry says.
///
/// An entry that names no leaf to use, because another writer left it or it was
/// damaged, is kept out, logged once a version and counted by its fault. Where
/// it stands under the id of a leaf in use, that leaf is used no longer,
/// whether the entry came with a listing, a watch or from a peer: what the leaf
/// now says of itself can't be told.
///
/// Belongs to one event loop; not thread safe.
class LeafFeed : public feed::FeedObserver {
 public:
  /// @param registry Takes the metric ibismux_leaf_entries_refused_total.
  /// @param on_back Called when the registry answers again.
  /// The others outlive this.
  LeafFeed(boost::asio::io_context& loop,
           directory::LeafDirectory& directory,
           const LeafEntryDecoder& decoder,
           prometheus::Registry& registry,
           eventlog::EventLog& log,
           std::function<void()> on_back);

  void on_listing(const store::Listing& listing) override;
  void on_change(const store::WatchBatch::Event& event) override;
  void on_lost() override;
  void on_regained() override;
  void on_available_since(TimePoint since) override;

 private:
  /// The entry of `object`; nothing where it names no leaf to use.
  [[nodiscard]] std::optional<directory::LeafEntry> read(
      const store::StoredObject& object);
  void refuse(const store::StoredObject& object,
              const directory::RefusedEntry& refused);
  void schedule_expiry();

  directory::LeafDirectory& directory;
  const LeafEntryDecoder& decoder;
  eventlog::EventLog& log;
  const std::function<void()> on_back;
  std::array<prometheus::Counter*, directory::kEntryFaultCount> refusals;
  /// The version at which each entry was last refused, for the log.
  std::map<std::string, store::Version> refused_at;
  http::Timer expiry;
};

}  // namespace ibismux::edge

#endif  // IBISMUX_EDGE_LEAF_FEED_H_
