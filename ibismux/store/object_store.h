#ifndef IBISMUX_STORE_OBJECT_STORE_H_
#define IBISMUX_STORE_OBJECT_STORE_H_

#include <string>
#include <utility>
#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/base/task.h"
#include "ibismux/base/time.h"
#include "ibismux/store/host_entry.h"
#include "ibismux/store/stored_object.h"

namespace ibismux::store {

/// The platform's object API as the daemon sees it.
///
/// Errors of every call: kPlatformUnavailable (down, slow past the deadline, or
/// this daemon's budget of calls is spent), kConflict, kNotFound, kTooLarge,
/// kProtocolError. After a failed write, `Error::execution` is kNotRun only
/// where the write certainly did not take effect (a conflict, a refused
/// connection, a spent budget); otherwise it may have, and the writer must read
/// back.
///
/// Implementations are thread safe; a call completes on the caller's executor.
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;

  /// @name Reading
  /// @{
  [[nodiscard]] virtual Task<Result<StoredObject>> get(std::string collection,
                                                       std::string name,
                                                       TimePoint deadline) = 0;
  [[nodiscard]] virtual Task<Result<Listing>> list(std::string collection,
                                                   TimePoint deadline) = 0;
  /// Waits up to `wait` for a change after `since`; an empty batch is normal.
  [[nodiscard]] virtual Task<Result<WatchBatch>> watch(
      std::string collection,
      Version since,
      std::chrono::milliseconds wait) = 0;
  [[nodiscard]] virtual Task<Result<std::vector<HostEntry>>> hosts(
      TimePoint deadline) = 0;
  /// A read that may be answered from state some seconds old, at a fraction of
  /// the price where the API has such reads, and an ordinary one elsewhere.
  [[nodiscard]] virtual Task<Result<StoredObject>>
  stale_get(std::string collection, std::string name, TimePoint deadline) {
    return this->get(std::move(collection), std::move(name), deadline);
  }
  /// The same of a whole collection.
  [[nodiscard]] virtual Task<Result<Listing>> stale_list(std::string collection,
                                                         TimePoint deadline) {
    return this->list(std::move(collection), deadline);
  }
  /// Changes of a collection after `since`, without waiting for one; perhaps
  /// from state some seconds old. If that state is older than `since`, the
  /// batch is empty and has the version `since`.
  [[nodiscard]] virtual Task<Result<WatchBatch>>
  stale_changes(std::string collection, Version since, TimePoint deadline) {
    (void)deadline;
    return this->watch(std::move(collection), since,
                       std::chrono::milliseconds::zero());
  }
  /// @}

  /// @name Conditional writes
  /// @{

  /// Writes only if the object's version is `expected` (0: does not exist).
  /// @return The new version.
  [[nodiscard]] virtual Task<Result<Version>> put(std::string collection,
                                                  std::string name,
                                                  std::string value,
                                                  Version expected,
                                                  TimePoint deadline) = 0;
  /// Deletes only if the object's version is `expected`.
  [[nodiscard]] virtual Task<Result<void>> remove(std::string collection,
                                                  std::string name,
                                                  Version expected,
                                                  TimePoint deadline) = 0;
  /// @}
};

/// Collections that ibismux uses.
inline constexpr const char* kObjects = "objects";    ///< Operators' objects.
inline constexpr const char* kReleases = "releases";  ///< Head and chunks.
inline constexpr const char* kStatus = "status";
inline constexpr const char* kAudit = "audit";
inline constexpr const char* kClaims = "claims";  ///< Reservation keys.

}  // namespace ibismux::store

#endif  // IBISMUX_STORE_OBJECT_STORE_H_
