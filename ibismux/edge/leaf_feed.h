#ifndef IBISMUX_EDGE_LEAF_FEED_H_
#define IBISMUX_EDGE_LEAF_FEED_H_

#include <prometheus/counter.h>

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ibismux/directory/leaf_directory.h"
#include "ibismux/edge/adapters.h"
#include "ibismux/eventlog/forward.h"
#include "ibismux/feed/feed_observer.h"
#include "ibismux/http/socket.h"

namespace prometheus {
class Registry;
}  // namespace prometheus

namespace ibismux::edge {

/// Keeps the directory of leafs in sync with the registry.
///
/// An entry that doesn't describe a usable leaf, because it is damaged or was
/// left by another writer, is ignored, logged once per version and counted by
/// its fault. If it has the id of a leaf in use, that leaf is removed, because
/// its current state is unknown. This holds whether the entry came with a
/// listing, from a watch or from a peer.
///
/// Not thread safe: used on one event loop.
class LeafFeed : public feed::FeedObserver {
 public:
  /// @param registry Receives the metric ibismux_leaf_entries_refused_total.
  /// @param on_recovery Called when the registry of leafs answers again.
  /// @param on_listed Called after each listing.
  /// @param loop, directory, decoder, log Must outlive this.
  LeafFeed(boost::asio::io_context& loop,
           directory::LeafDirectory& directory,
           const LeafEntryDecoder& decoder,
           prometheus::Registry& registry,
           eventlog::EventLog& log,
           std::function<void()> on_recovery,
           std::function<void()> on_listed);

  /// Adds leafs whose entries the registry has lost; see
  /// `LeafDirectory::adopt()`.
  void adopt(const std::vector<directory::LeafEntry>& entries);

  /// Whether the leafs have been listed once.
  [[nodiscard]] bool is_listed() const noexcept { return this->listed; }

  void on_listing(const store::Listing& listing) override;
  void on_change(const store::WatchBatch::Event& event) override;
  void on_lost() override;
  void on_regained() override;
  void on_available_since(TimePoint since) override;

 private:
  /// Decodes `object`. Refuses it and returns nothing if it doesn't describe a
  /// usable leaf.
  [[nodiscard]] std::optional<directory::LeafEntry> read(
      const store::StoredObject& object);
  void refuse(const store::StoredObject& object,
              const directory::RefusedEntry& refused);
  void schedule_expiry();

  directory::LeafDirectory& directory;
  const LeafEntryDecoder& decoder;
  eventlog::EventLog& log;
  const std::function<void()> on_recovery;
  const std::function<void()> on_listed;
  std::array<prometheus::Counter*, directory::kEntryFaultCount> refusals;
  /// The last refused version of each entry, so that each is logged only once.
  std::map<std::string, store::Version> refused_versions;
  bool listed = false;
  http::Timer expiry;
};

}  // namespace ibismux::edge

#endif  // IBISMUX_EDGE_LEAF_FEED_H_
