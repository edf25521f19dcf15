#ifndef IBISMUX_STORE_HTTP_OBJECT_STORE_H_
#define IBISMUX_STORE_HTTP_OBJECT_STORE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "ibismux/base/forward.h"
#include "ibismux/store/object_store.h"
#include "ibismux/store/platform_health.h"
#include "ibismux/store/platform_settings.h"
#include "ibismux/store/store_dialect.h"

namespace prometheus {
class Registry;
}

namespace ibismux::store {

/// The platform over HTTP, in whichever dialect its object API speaks.
///
/// Its connections, budget and health belong to one event loop, to which every
/// call goes and from which its answer comes back to the caller's executor: the
/// platform sees few connections of this daemon, and no call needs a lock.
/// Nothing is sent twice here; `write_settled()` does that where it is safe.
///
/// Thread safe.
class HttpObjectStore : public ObjectStore {
 public:
  /// @param pool Outlives every call; the first loop is used.
  /// @param dialect How this object API spells its calls.
  /// @param registry Takes the metrics ibismux_platform_*; outlives this.
  /// @param seed Of the jitter; differs from daemon to daemon.
  HttpObjectStore(IoPool& pool,
                  PlatformSettings settings,
                  std::unique_ptr<const StoreDialect> dialect,
                  prometheus::Registry& registry,
                  std::uint64_t seed);
  ~HttpObjectStore() override;
  HttpObjectStore(const HttpObjectStore&) = delete;
  HttpObjectStore& operator=(const HttpObjectStore&) = delete;

  /// @name ObjectStore
  /// @{
  [[nodiscard]] Task<Result<StoredObject>> get(std::string collection,
                                               std::string name,
                                               TimePoint deadline) override;
  [[nodiscard]] Task<Result<Listing>> list(std::string collection,
                                           TimePoint deadline) override;
  /// Doesn't wait while the platform is held to be down.
  [[nodiscard]] Task<Result<WatchBatch>> watch(
      std::string collection,
      Version since,
      std::chrono::milliseconds wait) override;
  [[nodiscard]] Task<Result<std::vector<HostEntry>>> hosts(
      TimePoint deadline) override;
  [[nodiscard]] Task<Result<Listing>> stale_list(std::string collection,
                                                 TimePoint deadline) override;
  [[nodiscard]] Task<Result<WatchBatch>> stale_changes(
      std::string collection,
      Version since,
      TimePoint deadline) override;
  [[nodiscard]] Task<Result<StoredObject>> stale_get(
      std::string collection,
      std::string name,
      TimePoint deadline) override;
  [[nodiscard]] Task<Result<Version>> put(std::string collection,
                                          std::string name,
                                          std::string value,
                                          Version expected,
                                          TimePoint deadline) override;
  [[nodiscard]] Task<Result<void>> remove(std::string collection,
                                          std::string name,
                                          Version expected,
                                          TimePoint deadline) override;
  /// @}

  /// What the last calls say about the platform. Thread safe.
  [[nodiscard]] PlatformState state() const noexcept;

  /// How many daemons share the platform's rates now. Thread safe.
  void set_members(std::size_t members);

 private:
  struct Impl;
  std::shared_ptr<const Impl> impl;
};

}  // namespace ibismux::store

#endif  // IBISMUX_STORE_HTTP_OBJECT_STORE_H_
