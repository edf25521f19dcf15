#ifndef IBISMUX_DISPATCH_QUERY_DELEGATE_H_
#define IBISMUX_DISPATCH_QUERY_DELEGATE_H_

#include <cstdint>
#include <memory>
#include <optional>

#include "ibismux/base/task.h"
#include "ibismux/base/time.h"
#include "ibismux/dispatch/answer.h"
#include "ibismux/dispatch/caller_request.h"
#include "ibismux/http/forward.h"

namespace ibismux::dispatch {

/// Has queries over many shards gathered by another daemon.
///
/// Belongs to the dispatcher's event loop; not thread safe.
class QueryDelegate {
 public:
  /// A query, and by what it was routed.
  struct Query {
    CallerRequest request;
    std::uint64_t configuration = 0;
    TimePoint due;       ///< When its answer should go out.
    TimePoint final_at;  ///< The last moment for any answer.
  };

  struct Delegated {
    /// Nothing: the query is to be gathered here. A success is a
    /// `MergedAnswer`.
    std::optional<Outcome> outcome;
    /// Nothing came back in time, but some leafs may have run the query.
    bool may_have_run = false;
  };

  virtual ~QueryDelegate() = default;

  /// Whether some daemon would take a query now.
  [[nodiscard]] virtual bool is_available(TimePoint now) const = 0;

  /// Has `query` gathered. Ends with an outcome of kind kCancelled soon after
  /// the caller has gone.
  /// @param caller Its callback is replaced.
  [[nodiscard]] virtual Task<Delegated> run(
      Query query,
      std::shared_ptr<http::CancelToken> caller) = 0;
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_QUERY_DELEGATE_H_
