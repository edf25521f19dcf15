#include "ibismux/gateway/call_group.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "ibismux/gateway/gateway_context.h"

namespace ibismux::gateway {

CallGroup::CallGroup(LeafCallBatch batch,
                     boost::asio::any_io_executor executor,
                     LeafCaller::Sink sink,
                     std::shared_ptr<GatewayContext> context)
    : shared(std::move(batch)),
      executor(std::move(executor)),
      sink(std::move(sink)),
      context(std::move(context)) {}

void CallGroup::answer(LeafAnswer answer) const {
  if (this->context) {
    --this->context->outstanding;
  }
  boost::asio::post(this->executor,
                    [sink = this->sink, answer = std::move(answer)]() mutable {
                      sink(std::move(answer));
                    });
}

void CallGroup::refuse(const CallId& id,
                       Error error,
                       Duration queue_time) const {
  this->answer(
      LeafAnswer{id, tl::unexpected(std::move(error)), {}, queue_time});
}

Error not_run(ErrorKind kind, std::string message) {
  Error error = make_error(kind, std::move(message));
  error.execution = Execution::kNotRun;
  return error;
}

}  // namespace ibismux::gateway
