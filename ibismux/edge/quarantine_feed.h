#ifndef IBISMUX_EDGE_QUARANTINE_FEED_H_
#define IBISMUX_EDGE_QUARANTINE_FEED_H_

#include <functional>

#include "ibismux/eventlog/forward.h"
#include "ibismux/feed/feed_observer.h"
#include "ibismux/quarantine/quarantine_table.h"

namespace ibismux::edge {

/// Tells the table of requests that end leafs what the store says of them.
///
/// While the store can't be reached, what is known holds on. Not thread safe.
class QuarantineFeed : public feed::FeedObserver {
 public:
  /// @param on_back Called when the store answers again.
  /// @param table, log Outlive this.
  QuarantineFeed(quarantine::QuarantineTable& table,
                 eventlog::EventLog& log,
                 std::function<void()> on_back);

  void on_listing(const store::Listing& listing) override;
  void on_change(const store::WatchBatch::Event& event) override;
  void on_regained() override { this->on_back(); }

 private:
  void take(const store::StoredObject& object);

  quarantine::QuarantineTable& table;
  eventlog::EventLog& log;
  const std::function<void()> on_back;
};

}  // namespace ibismux::edge

#endif  // IBISMUX_EDGE_QUARANTINE_FEED_H_
