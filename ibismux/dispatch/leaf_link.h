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

/// One request on its way to one leaf.
struct LeafCall {
  std::shared_ptr<const http::Request> message;
  std::string request_id;
  /// The id of the leaf that is meant. Another one that has its address since
  /// answers that it isn't the one, and runs nothing.
  std::string leaf_id;
  TimePoint deadline;
};

/// What a leaf answered.
struct LeafReply {
  enum class Kind : unsigned char {
    kSuccess,
    kFailure,        ///< The leaf took the request up and failed, or may have.
    kNotRun,         ///< The leaf says that it hasn't run it and won't.
    kOtherInstance,  ///< Another leaf has the address; not run.
  };

  Kind kind = Kind::kFailure;
  LeafAnswer answer;
  /// Absent where the leaf doesn't tell, or not so that it can be read.
  std::optional<LeafLoad> load;
  bool has_unreadable_load = false;
};

/// One connection to one leaf; one call at a time.
///
/// Belongs to one event loop; not thread safe.
class LeafLink {
 public:
  virtual ~LeafLink() = default;

  /// Connects. Precondition: not open. An error is always kNotRun.
  [[nodiscard]] virtual Task<Result<void>> open(TimePoint deadline) = 0;

  /// Sends `call` and reads its reply. Precondition: `usable()`. An error says
  /// kNotRun only where no byte was sent; the link is closed after any error.
  [[nodiscard]] virtual Task<Result<LeafReply>> call(
      std::shared_ptr<const LeafCall> call) = 0;

  /// Open, and between calls.
  [[nodiscard]] virtual bool usable() const noexcept = 0;

  /// Closes at once; a call in progress ends with kCancelled.
  virtual void close() noexcept = 0;
};

/// Makes links to leafs. Thread safe.
class LeafConnector {
 public:
  virtual ~LeafConnector() = default;
  [[nodiscard]] virtual std::unique_ptr<LeafLink> make(
      const directory::LeafEntry& entry) const = 0;
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_LEAF_LINK_H_
