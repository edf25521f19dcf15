#ifndef IBISMUX_FEED_FEED_OBSERVER_H_
#define IBISMUX_FEED_FEED_OBSERVER_H_

#include "ibismux/base/time.h"
#include "ibismux/store/stored_object.h"

namespace ibismux::feed {

/// Receives the content of a collection of the store and its changes. Called on
/// the feed's event loop.
class FeedObserver {
 public:
  virtual ~FeedObserver() = default;
  virtual void on_listing(const store::Listing& listing) = 0;
  virtual void on_change(const store::WatchBatch::Event& event) = 0;
  /// Neither the store nor a peer provides updates: the known state may become
  /// out of date.
  virtual void on_lost() {}
  /// Updates are available again; what is reported from now on is current.
  virtual void on_regained() {}
  /// The store has answered some daemon without interruption since the given
  /// time, so that no entry expired because of an outage: an object that is
  /// missing from it was removed.
  virtual void on_available_since(TimePoint) {}
};

}  // namespace ibismux::feed

#endif  // IBISMUX_FEED_FEED_OBSERVER_H_
