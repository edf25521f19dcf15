#ifndef IBISMUX_PEER_PENDING_REQUEST_H_
#define IBISMUX_PEER_PENDING_REQUEST_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "ibismux/base/error.h"
#include "ibismux/base/time.h"

namespace ibismux::peer {

/// A request that waits for its response. The result and the timer belong to
/// the requester's executor.
class PendingRequest : public std::enable_shared_from_this<PendingRequest> {
 public:
  PendingRequest(const boost::asio::any_io_executor& executor,
                 TimePoint deadline)
      : timer(executor, deadline) {}

  /// Ends the wait; the first outcome counts. Thread safe.
  void complete(Result<std::string> outcome) {
    boost::asio::post(this->timer.get_executor(),
                      [self = this->shared_from_this(),
                       outcome = std::move(outcome)]() mutable {
                        if (!self->result) {
                          self->result = std::move(outcome);
                          self->timer.cancel();
                        }
                      });
  }

  boost::asio::steady_timer timer;
  std::optional<Result<std::string>> result;
};

}  // namespace ibismux::peer

#endif  // IBISMUX_PEER_PENDING_REQUEST_H_
