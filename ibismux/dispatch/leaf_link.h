#ifndef IBISMUX_DISPATCH_LEAF_LINK_H_
#define IBISMUX_DISPATCH_LEAF_LINK_H_

#include <memory>
#include <optional>
#include <string>

#include "ibismux/base/error.h"
#include "ibismux/base/task.h"
#include "ibismux/base/time.h"
#include "ibismux/directory/forward.h"
#include "ibismux/dispatch/answer.h"
#include "ibismux/dispatch/leaf_load.h"
#include "ibismux/http/forward.h"

namespace ibismux::dispatch {

/// One request to one leaf.
struct LeafCall {
  std::shared_ptr<const http::Request> message;
  std::string request_id;
  /// The id of the intended leaf. If another leaf has taken over the address,
  /// it answers `kOtherInstance` and doesn't execute the request.
  std::string leaf_id;
  TimePoint deadline;
  std::string customer;  ///< Empty if the request has none.
};

/// What a leaf answered.
struct LeafReply {
  enum class Kind : unsigned char {
    kSuccess,
    kFailure,        ///< The leaf failed; it may have executed the request.
    kNotRun,         ///< The leaf hasn't executed the call and won't.
    kOtherInstance,  ///< Another leaf has the address; not executed.
  };

  Kind kind = Kind::kFailure;
  LeafAnswer answer;
  /// Absent if the leaf doesn't report its load or the report is unreadable.
  std::optional<LeafLoad> load;
  bool has_unreadable_load = false;
};

/// One connection to one leaf; carries one call at a time.
///
/// Belongs to one event loop; not thread safe.
class LeafLink {
 public:
  virtual ~LeafLink() = default;

  /// Connects. Precondition: not open. The execution of an error is always
  /// kNotRun.
  [[nodiscard]] virtual Task<Result<void>> open(TimePoint deadline) = 0;

  /// Sends `call` and reads its reply. Precondition: `usable()`. The execution
  /// of an error is kNotRun only if no byte was sent. Any error closes the
  /// link.
  [[nodiscard]] virtual Task<Result<LeafReply>> call(
      std::shared_ptr<const LeafCall> call) = 0;

  /// Whether the link is open and carries no call.
  [[nodiscard]] virtual bool usable() const noexcept = 0;

  /// Closes the link immediately; a call in progress ends with kCancelled.
  virtual void close() noexcept = 0;
};

/// Creates links to leafs. Thread safe.
class LeafConnector {
 public:
  virtual ~LeafConnector() = default;
  [[nodiscard]] virtual std::unique_ptr<LeafLink> make(
      const directory::LeafEntry& entry) const = 0;
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_LEAF_LINK_H_
