#ifndef IBISMUX_EDGE_EVACUATION_FEED_H_
#define IBISMUX_EDGE_EVACUATION_FEED_H_

#include <functional>

#include "ibismux/base/zone_sizes.h"
#include "ibismux/feed/feed_observer.h"

namespace ibismux::edge {

/// Keeps the set of evacuated zones, whose leafs must get no requests, at what
/// the store says.
///
/// While the store can't be reached, the last known set stays in force: an
/// operator who evacuates a zone expects it to stay empty until told otherwise.
///
/// Not thread safe.
class EvacuationFeed : public feed::FeedObserver {
 public:
  /// Called with all evacuated zones each time the set has changed.
  using Take = std::function<void(const ZoneNames& zones)>;

  /// @param on_back Called when the store answers again.
  EvacuationFeed(Take take, std::function<void()> on_back);

  void on_listing(const store::Listing& listing) override;
  void on_change(const store::WatchBatch::Event& event) override;
  void on_regained() override { this->on_back(); }

 private:
  void put_in_force(ZoneNames fresh);

  const Take take;
  const std::function<void()> on_back;
  ZoneNames zones;
};

}  // namespace ibismux::edge

#endif  // IBISMUX_EDGE_EVACUATION_FEED_H_
