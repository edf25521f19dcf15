#ifndef IBISMUX_EDGE_QUARANTINE_FEED_H_
#define IBISMUX_EDGE_QUARANTINE_FEED_H_

#include <functional>

#include "ibismux/eventlog/forward.h"
#include "ibismux/feed/feed_observer.h"
#include "ibismux/quarantine/quarantine_table.h"

namespace ibismux::edge {

/// Applies the quarantine records in the store, and their removals, to the
/// table of requests during which leafs have ended.
///
/// While the store can't be reached, the last known records stay in force.
///
/// Not thread safe.
class QuarantineFeed : public feed::FeedObserver {
 public:
  /// @param on_recovery Called when the store answers again.
  /// @param table, log Must outlive this.
  QuarantineFeed(quarantine::QuarantineTable& table,
                 eventlog::EventLog& log,
                 std::function<void()> on_recovery);

  void on_listing(const store::Listing& listing) override;
  void on_change(const store::WatchBatch::Event& event) override;
  void on_regained() override { this->on_recovery(); }

 private:
  void apply(const store::StoredObject& object);

  quarantine::QuarantineTable& table;
  eventlog::EventLog& log;
  const std::function<void()> on_recovery;
};

}  // namespace ibismux::edge

#endif  // IBISMUX_EDGE_QUARANTINE_FEED_H_
