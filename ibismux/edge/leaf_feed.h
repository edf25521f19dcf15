#ifndef IBISMUX_EDGE_LEAF_FEED_H_
#define IBISMUX_EDGE_LEAF_FEED_H_

#include <functional>

#include "ibismux/directory/leaf_directory.h"
#include "ibismux/edge/adapters.h"
#include "ibismux/eventlog/forward.h"
#include "ibismux/feed/feed_observer.h"
#include "ibismux/http/socket.h"

namespace ibismux::edge {

/// Keeps the directory of leafs at what the registry says. An entry that can't
/// be read is kept out and named in the log.
///
/// Belongs to one event loop; not thread safe.
class LeafFeed : public feed::FeedObserver {
 public:
  /// @param on_back Called when the registry answers again.
  /// The others outlive this.
  LeafFeed(boost::asio::io_context& loop,
           directory::LeafDirectory& directory,
           const LeafEntryDecoder& decoder,
           eventlog::EventLog& log,
           std::function<void()> on_back);

  void on_listing(const store::Listing& listing) override;
  void on_change(const store::WatchBatch::Event& event) override;
  void on_lost() override;
  void on_regained() override;

 private:
  [[nodiscard]] std::optional<directory::LeafEntry> read(
      const store::StoredObject& object);
  void schedule_expiry();

  directory::LeafDirectory& directory;
  const LeafEntryDecoder& decoder;
  eventlog::EventLog& log;
  const std::function<void()> on_back;
  http::Timer expiry;
};

}  // namespace ibismux::edge

#endif  // IBISMUX_EDGE_LEAF_FEED_H_
