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

/// One connection to one leaf; one call at a time.
///
/// Belongs to the event loop it is used from; not thread safe.
class LeafConnection {
 public:
  LeafConnection(std::string address, std::uint16_t port);
  ~LeafConnection();
  LeafConnection(const LeafConnection&) = delete;
  LeafConnection& operator=(const LeafConnection&) = delete;

  /// Connects, and asks for the leaf's health so that the leaf proves that it
  /// took the connection. Precondition: not open.
  ///
  /// A leaf at its connection limit accepts and closes. Without the proof, the
  /// first call would be written into such a connection, and a reservation's
  /// outcome would be unknown although it never ran.
  /// Errors, all kNotRun: kLeafUnavailable, kDeadlineExceeded.
  [[nodiscard]] Task<Result<LeafHealth>> open(TimePoint deadline);

  /// Writes `request` and waits for its answer until `give_up`, which may lie
  /// after the request's deadline: the leaf's own word that it stopped keeps
  /// the connection. Precondition: usable.
  /// Errors: see `interpret`.
  [[nodiscard]] Task<LeafReply> call(LeafRequest request, TimePoint give_up);

  /// Asks the leaf to stop the call `id`, which runs on another connection.
  /// Precondition: usable. Errors: kLeafUnavailable, kDeadlineExceeded.
  [[nodiscard]] Task<Result<void>> cancel(CallId id, TimePoint deadline);

  /// Asks the leaf how it is. Precondition: usable. Errors: as for `cancel`.
  [[nodiscard]] Task<Result<LeafHealth>> health(TimePoint deadline);

  /// Open, between calls, and with no stray byte of an earlier answer waiting.
  [[nodiscard]] bool usable() const noexcept;

  /// Closes at once; a call in progress ends with kCancelled.
  void close() noexcept;

 private:
  std::shared_ptr<http::ClientConnection> connection;
};

}  // namespace ibismux::backend

#endif  // IBISMUX_BACKEND_LEAF_CONNECTION_H_
