#ifndef IBISMUX_BACKEND_LEAF_CONNECTION_H_
#define IBISMUX_BACKEND_LEAF_CONNECTION_H_

#include <cstdint>
#include <memory>
#include <string>

#include "ibismux/backend/leaf_health.h"
#include "ibismux/backend/leaf_reply.h"
#include "ibismux/backend/leaf_request.h"
#include "ibismux/base/error.h"
#include "ibismux/base/task.h"
#include "ibismux/base/time.h"
#include "ibismux/http/forward.h"

namespace ibismux::backend {

/// A connection to one leaf; carries one call at a time.
///
/// Must be used from a single event loop. Not thread safe.
class LeafConnection {
 public:
  LeafConnection(std::string address, std::uint16_t port);
  ~LeafConnection();
  LeafConnection(const LeafConnection&) = delete;
  LeafConnection& operator=(const LeafConnection&) = delete;

  /// Connects and requests the leaf's health, which confirms that the leaf
  /// serves the connection. Precondition: not open.
  ///
  /// A leaf at its connection limit accepts a connection and then closes it.
  /// Without the health request, the first call would be written to such a
  /// connection, and a reservation's outcome would be unknown although it never
  /// ran.
  /// Errors, all kNotRun: kLeafUnavailable, kDeadlineExceeded.
  [[nodiscard]] Task<Result<LeafHealth>> open(TimePoint deadline);

  /// Sends `request` and waits for its answer until `answer_deadline`. This may
  /// be later than the request's deadline, because the connection stays usable
  /// if the leaf itself answers that the deadline has passed. Precondition:
  /// usable. Errors: see `interpret`.
  [[nodiscard]] Task<LeafReply> call(LeafRequest request,
                                     TimePoint answer_deadline);

  /// Requests cancellation of the call `id`, which runs on another connection.
  /// Precondition: usable. Errors: kLeafUnavailable, kDeadlineExceeded.
  [[nodiscard]] Task<Result<void>> cancel(CallId id, TimePoint deadline);

  /// Requests the leaf's health. Precondition: usable. Errors: as for `cancel`.
  [[nodiscard]] Task<Result<LeafHealth>> health(TimePoint deadline);

  /// Whether the connection is open, no call is in progress and no unread byte
  /// of an earlier answer is pending.
  [[nodiscard]] bool usable() const noexcept;

  /// Closes the connection immediately; a call in progress ends with
  /// kCancelled.
  void close() noexcept;

 private:
  std::shared_ptr<http::ClientConnection> connection;
};

}  // namespace ibismux::backend

#endif  // IBISMUX_BACKEND_LEAF_CONNECTION_H_
