#ifndef IBISMUX_EDGE_CONFIGURATION_FEED_H_
#define IBISMUX_EDGE_CONFIGURATION_FEED_H_

#include <functional>
#include <memory>
#include <string>

#include "ibismux/edge/adapters.h"
#include "ibismux/eventlog/forward.h"
#include "ibismux/feed/feed_observer.h"

namespace ibismux::edge {

/// Decodes each new version of the configuration and passes it to a handler. A
/// version that can't be decoded is logged and ignored; the last valid one
/// stays in force.
///
/// Not thread safe.
class ConfigurationFeed : public feed::FeedObserver {
 public:
  using UpdateHandler =
      std::function<void(std::shared_ptr<const routing::RouteTable> table)>;

  /// @param name Name of the object that holds the configuration.
  /// @param decoder, log Must outlive this.
  /// @param on_update Called with each version that could be decoded.
  /// @param on_recovery Called when the store answers again.
  ConfigurationFeed(std::string name,
                    const ConfigurationDecoder& decoder,
                    eventlog::EventLog& log,
                    UpdateHandler on_update,
                    std::function<void()> on_recovery);

  void on_listing(const store::Listing& listing) override;
  void on_change(const store::WatchBatch::Event& event) override;
  void on_regained() override { this->on_recovery(); }

 private:
  void read(const store::StoredObject& object);

  const std::string name;
  const ConfigurationDecoder& decoder;
  eventlog::EventLog& log;
  const UpdateHandler on_update;
  const std::function<void()> on_recovery;
};

}  // namespace ibismux::edge

#endif  // IBISMUX_EDGE_CONFIGURATION_FEED_H_
