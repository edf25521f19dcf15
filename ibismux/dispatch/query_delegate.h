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

/// Delegates queries over many shards to another daemon, which gathers them.
///
/// Belongs to the dispatcher's event loop; not thread safe.
class QueryDelegate {
 public:
  /// What a query needs of the daemon that gathers it.
  struct Needs {
    /// It is sent by a customer, which older daemons don't pass on to leafs.
    bool has_customer = false;
    /// It stays in this zone: it may only be sent to leafs of some zones, or
    /// its route allows no further attempt if a peer's confirmation is lost on
    /// the way.
    bool stays_in_zone = false;
  };

  /// A query and the version of the configuration that routed it.
  struct Query {
    CallerRequest request;
    Needs needs;
    std::uint64_t configuration = 0;
    TimePoint due;             ///< When its answer should be sent.
    TimePoint final_deadline;  ///< The deadline for any answer.
  };

  struct DelegationResult {
    /// Empty if the query has to be gathered by this daemon. A success holds a
    /// `MergedAnswer`.
    std::optional<Outcome> outcome;
    /// No answer arrived in time, but some leafs may have run the query.
    bool may_have_run = false;
  };

  virtual ~QueryDelegate() = default;

  /// Whether a daemon is available to take a query now.
  [[nodiscard]] virtual bool is_available(const Needs& needs,
                                          TimePoint now) const = 0;

  /// No daemon was available for a query: others may be asked to take the next
  /// ones.
  virtual void on_unavailable(const Needs&, TimePoint) {}

  /// Has `query` gathered by another daemon. Ends with an error soon after the
  /// token is cancelled, of kind kCancelled if the caller has disconnected.
  /// @param caller Its callback is replaced.
  [[nodiscard]] virtual Task<DelegationResult> run(
      Query query,
      std::shared_ptr<http::CancelToken> caller) = 0;
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_QUERY_DELEGATE_H_
