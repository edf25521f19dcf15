#ifndef IBISMUX_EDGE_CONFIGURATION_FEED_H_
#define IBISMUX_EDGE_CONFIGURATION_FEED_H_

#include <functional>
#include <memory>
#include <string>

#include "ibismux/edge/adapters.h"
#include "ibismux/eventlog/forward.h"
#include "ibismux/feed/feed_observer.h"

namespace ibismux::edge {

/// Reads versions of the configuration as they come. One that can't be read is
/// kept out and named in the log; the last good one stays in force.
///
/// Not thread safe.
class ConfigurationFeed : public feed::FeedObserver {
 public:
  using Take =
      std::function<void(std::shared_ptr<const routing::RouteTable> table)>;

  /// @param name Of the object that holds the configuration.
  /// @param decoder, log Outlive this.
  /// @param on_back Called when the store answers again.
  ConfigurationFeed(std::string name,
                    const ConfigurationDecoder& decoder,
                    eventlog::EventLog& log,
                    Take take,
                    std::function<void()> on_back);

  void on_listing(const store::Listing& listing) override;
  void on_change(const store::WatchBatch::Event& event) override;
  void on_regained() override { this->on_back(); }

 private:
  void read(const store::StoredObject& object);

  const std::string name;
  const ConfigurationDecoder& decoder;
  eventlog::EventLog& log;
  const Take take;
  const std::function<void()> on_back;
};

}  // namespace ibismux::edge

#endif  // IBISMUX_EDGE_CONFIGURATION_FEED_H_
