// What a link does with requests: its own, and those that come in.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "ibismux/peer/error_message.h"
#include "ibismux/peer/peer_context.h"
#include "ibismux/peer/peer_link.h"

namespace ibismux::peer {

std::uint64_t PeerLink::request(std::uint8_t kind,
                                std::string_view payload,
                                PendingPointer pending) {
  std::lock_guard lock(this->mutex);
  const std::uint64_t correlation = this->last_correlation + 1;
  if (!this->enqueue(kind, FrameRole::kRequest, correlation, payload)) {
    return 0;
  }
  this->last_correlation = correlation;
  this->pending.emplace(correlation, std::move(pending));
  return correlation;
}

void PeerLink::forget(std::uint64_t correlation) {
  std::lock_guard lock(this->mutex);
  this->pending.erase(correlation);
}

void PeerLink::on_frame(std::shared_ptr<PeerConnection> connection,
                        FrameHeader header,
                        std::string payload) {
  this->last_used = Clock::now();
  switch (header.role) {
    case FrameRole::kNotify: {
      const auto& handler = this->context->notify_handler(header.kind);
      if (handler) {
        handler(connection->peer(), std::move(payload));
      } else {
        this->context->metrics.frame_rejected();
      }
      return;
    }
    case FrameRole::kRequest:
      connection->begin_serving();
      boost::asio::co_spawn(
          this->loop,
          serve(this->shared_from_this(), std::move(connection), header,
                std::move(payload)),
          boost::asio::detached);
      return;
    case FrameRole::kResponse:
      this->respond(header.correlation, std::move(payload));
      return;
    case FrameRole::kErrorResponse:
      this->respond(header.correlation,
                    tl::unexpected<Error>(decode_error(payload)));
      return;
    case FrameRole::kGoodbye:
      this->choose_connection();
      this->return_goodbyes();
      return;
    case FrameRole::kHello:
      return;  // The connection refuses it.
  }
}

Task<void> PeerLink::serve(std::shared_ptr<PeerLink> self,
                           std::shared_ptr<PeerConnection> connection,
                           FrameHeader header,
                           std::string payload) {
  const auto& handler = self->context->request_handler(header.kind);
  Result<std::string> outcome =
      fail(ErrorKind::kProtocolError, "no handler for this kind of request");
  if (handler) {
    Incarnation from = connection->peer();
    outcome = co_await handler(std::move(from), std::move(payload));
  }
  if (outcome) {
    connection->append_response(FrameRole::kResponse, header.kind,
                                header.correlation, *outcome);
  } else {
    connection->append_response(FrameRole::kErrorResponse, header.kind,
                                header.correlation,
                                encode_error(outcome.error()));
  }
  connection->end_serving();
}

void PeerLink::respond(std::uint64_t correlation, Result<std::string> outcome) {
  PendingPointer request;
  {
    std::lock_guard lock(this->mutex);
    const auto found = this->pending.find(correlation);
    if (found == this->pending.end()) {
      return;  // Given up on.
    }
    request = std::move(found->second);
    this->pending.erase(found);
  }
  request->complete(std::move(outcome));
  this->return_goodbyes();
}

/// Answers the goodbyes of peers, once no request of this side is open.
void PeerLink::return_goodbyes() {
  {
    std::lock_guard lock(this->mutex);
    if (!this->pending.empty()) {
      return;
    }
  }
  const auto all = this->connections;
  for (const auto& connection : all) {
    if (connection->owes_goodbye()) {
      connection->say_goodbye();
    }
  }
}

void PeerLink::abandon(bool handed_only,
                       const std::string& reason,
                       Execution execution) {
  std::vector<PendingPointer> ended;
  {
    std::lock_guard lock(this->mutex);
    const auto end = handed_only ? this->pending.upper_bound(this->handed)
                                 : this->pending.end();
    for (auto at = this->pending.begin(); at != end; ++at) {
      ended.push_back(std::move(at->second));
    }
    this->pending.erase(this->pending.begin(), end);
  }
  Error error =
      make_error(ErrorKind::kPeerUnavailable, this->member + ": " + reason);
  error.execution = execution;
  for (const PendingPointer& request : ended) {
    request->complete(tl::unexpected<Error>(error));
  }
}

}  // namespace ibismux::peer
