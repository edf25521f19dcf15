#ifndef IBISMUX_DISPATCH_QUERY_GATHERER_H_
#define IBISMUX_DISPATCH_QUERY_GATHERER_H_

#include <cstdint>
#include <memory>

#include "ibismux/base/task.h"
#include "ibismux/dispatch/answer.h"
#include "ibismux/dispatch/caller_request.h"
#include "ibismux/http/forward.h"

namespace ibismux::dispatch {

/// Whether the peer whose query is being gathered knows that this daemon
/// gathers it.
struct Confirmation {
  bool given = false;
};

/// Gathers queries over many shards for peers.
///
/// Belongs to one event loop; not thread safe.
class QueryGatherer {
 public:
  virtual ~QueryGatherer() = default;

  /// The version of the configuration in force; 0 if there is none.
  [[nodiscard]] virtual std::uint64_t configuration() const noexcept = 0;

  /// Gathers a query of a peer on this daemon, without delegating it further.
  /// Until `confirmation` is given the peer may gather the query as well. This
  /// daemon then makes one attempt fewer than the route allows, which leaves
  /// one to the peer.
  /// @param cancelled Signals that the answer is no longer needed.
  [[nodiscard]] virtual Task<Outcome> gather(
      CallerRequest request,
      std::shared_ptr<const Confirmation> confirmation,
      std::shared_ptr<http::CancelToken> cancelled) = 0;
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_QUERY_GATHERER_H_
