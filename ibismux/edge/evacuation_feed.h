#ifndef IBISMUX_EDGE_EVACUATION_FEED_H_
#define IBISMUX_EDGE_EVACUATION_FEED_H_

#include <functional>

#include "ibismux/base/zone_sizes.h"
#include "ibismux/feed/feed_observer.h"

namespace ibismux::edge {

/// Keeps the set of evacuated zones, whose leafs must get no requests, in sync
/// with the store.
///
/// While the store can't be reached, the last known set stays in force: an
/// operator who evacuates a zone expects it to stay empty until told otherwise.
///
/// Not thread safe.
class EvacuationFeed : public feed::FeedObserver {
 public:
  /// Called with all evacuated zones after each change of the set.
  using UpdateHandler = std::function<void(const ZoneNames& zones)>;

  /// @param on_recovery Called when the store answers again.
  EvacuationFeed(UpdateHandler on_update, std::function<void()> on_recovery);

  void on_listing(const store::Listing& listing) override;
  void on_change(const store::WatchBatch::Event& event) override;
  void on_regained() override { this->on_recovery(); }

 private:
  void update_zones(ZoneNames updated);

  const UpdateHandler on_update;
  const std::function<void()> on_recovery;
  ZoneNames zones;
};

}  // namespace ibismux::edge

#endif  // IBISMUX_EDGE_EVACUATION_FEED_H_
