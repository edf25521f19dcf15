#ifndef IBISMUX_FEED_FEED_OBSERVER_H_
#define IBISMUX_FEED_FEED_OBSERVER_H_

#include "ibismux/base/time.h"
#include "ibismux/store/stored_object.h"

namespace ibismux::feed {

/// Is told what a collection of the store holds. Called on the feed's loop.
class FeedObserver {
 public:
  virtual ~FeedObserver() = default;
  virtual void on_listing(const store::Listing& listing) = 0;
  virtual void on_change(const store::WatchBatch::Event& event) = 0;
  /// Nobody can tell what the store holds now; what was told grows old.
  virtual void on_lost() {}
  /// Somebody can again, and what is told from here on is new.
  virtual void on_regained() {}
  /// The store has answered somebody without a break since then: what it holds
  /// is all that was written and not removed.
  virtual void on_unbroken_since(TimePoint) {}
};

}  // namespace ibismux::feed

#endif  // IBISMUX_FEED_FEED_OBSERVER_H_
