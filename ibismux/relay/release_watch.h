#ifndef IBISMUX_RELAY_RELEASE_WATCH_H_
#define IBISMUX_RELAY_RELEASE_WATCH_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "ibismux/base/error.h"
#include "ibismux/base/task.h"
#include "ibismux/relay/relay_settings.h"
#include "ibismux/store/stored_object.h"

namespace ibismux::store {
class ObjectStore;
}

namespace ibismux::relay {

class ReleaseFetcher;

/// Watches the platform's releases while this daemon is one of its zone's
/// watchers, and applies new ones through the fetcher.
///
/// Must be used only on its loop; only `active()` is thread safe.
class ReleaseWatch : public std::enable_shared_from_this<ReleaseWatch> {
 public:
  /// Called for each answer of the platform and for each failure.
  using Listener = std::function<void(const Result<void>&)>;

  /// Precondition: the references outlive the loop's thread.
  ReleaseWatch(const RelaySettings& settings,
               boost::asio::io_context& loop,
               store::ObjectStore& platform,
               ReleaseFetcher& fetcher);

  /// Call once.
  void start(Listener listener);
  void stop();
  /// Sets whether this daemon is a watcher of its zone.
  void set_active(bool active);
  [[nodiscard]] bool active() const noexcept { return this->enabled.load(); }

 private:
  using Self = std::shared_ptr<ReleaseWatch>;

  static Task<void> run(Self self);
  static Task<void> sleep(Self self, Duration pause);
  static Task<Result<store::Version>> step(Self self,
                                           std::optional<store::Version> since);

  const RelaySettings& settings;
  boost::asio::io_context& loop;
  store::ObjectStore& platform;
  ReleaseFetcher& fetcher;
  boost::asio::steady_timer timer;
  Listener listener;
  std::atomic<bool> enabled{false};
  bool stopped = false;
};

}  // namespace ibismux::relay

#endif  // IBISMUX_RELAY_RELEASE_WATCH_H_
