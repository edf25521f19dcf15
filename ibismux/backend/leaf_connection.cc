#include "ibismux/backend/leaf_connection.h"

#include <utility>

#include "ibismux/backend/leaf_protocol.h"
#include "ibismux/http/client_connection.h"

namespace ibismux::backend {

LeafConnection::LeafConnection(std::string address, std::uint16_t port)
    : connection(
          std::make_shared<http::ClientConnection>(std::move(address), port)) {}

LeafConnection::~LeafConnection() = default;

Task<Result<LeafHealth>> LeafConnection::open(TimePoint deadline) {
  const std::shared_ptr<http::ClientConnection> held_connection =
      this->connection;
  const Result<void> connected = co_await held_connection->connect(deadline);
  if (!connected) {
    co_return tl::unexpected(connected.error());
  }
  Result<LeafHealth> health = co_await this->health(deadline);
  if (health && !held_connection->usable()) {
    Error refused =
        make_error(ErrorKind::kLeafUnavailable, "refused the connection");
    refused.execution = Execution::kNotRun;
    co_return tl::unexpected(std::move(refused));
  }
  if (!health) {
    health.error().execution = Execution::kNotRun;
  }
  co_return health;
}

Task<LeafReply> LeafConnection::call(LeafRequest request,
                                     TimePoint answer_deadline) {
  const std::shared_ptr<http::ClientConnection> held_connection =
      this->connection;
  const std::shared_ptr<const http::Request> message =
      encode_call(request, Clock::now());
  const Result<http::Response> response =
      co_await held_connection->exchange(message, answer_deadline);
  LeafReply reply = interpret(request, response);
  // After an answer to another call, the answers on this connection no longer
  // match its calls, so later ones would be wrong too.
  if (reply.signal == LeafSignal::kForeign) {
    held_connection->close();
  }
  co_return reply;
}

Task<Result<void>> LeafConnection::cancel(CallId id, TimePoint deadline) {
  const std::shared_ptr<http::ClientConnection> held_connection =
      this->connection;
  const std::shared_ptr<const http::Request> message = encode_cancel(id);
  const Result<http::Response> response =
      co_await held_connection->exchange(message, deadline);
  if (!response) {
    co_return tl::unexpected(response.error());
  }
  co_return Result<void>();
}

Task<Result<LeafHealth>> LeafConnection::health(TimePoint deadline) {
  const std::shared_ptr<http::ClientConnection> held_connection =
      this->connection;
  auto message = std::make_shared<http::Request>();
  message->target = "/v1/health";
  const Result<http::Response> response =
      co_await held_connection->exchange(std::move(message), deadline);
  if (!response) {
    co_return tl::unexpected(response.error());
  }
  co_return parse_health(response->body);
}

bool LeafConnection::usable() const noexcept {
  return this->connection->usable();
}

void LeafConnection::close() noexcept {
  this->connection->close();
}

}  // namespace ibismux::backend
