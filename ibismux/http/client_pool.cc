#include "ibismux/http/client_pool.h"

#include <utility>
#include <vector>

#include "ibismux/http/client_connection.h"

namespace ibismux::http {

class ClientPool::Impl {
 public:
  Impl(std::string address,
       std::uint16_t port,
       std::size_t most_idle,
       ClientOptions options)
      : address(std::move(address)),
        port(port),
        most_idle(most_idle),
        options(std::move(options)) {}

  [[nodiscard]] static Task<Result<Response>> send(
      std::shared_ptr<Impl> self,
      std::shared_ptr<const Request> request,
      TimePoint deadline) {
    std::unique_ptr<ClientConnection> connection = self->take_idle();
    if (!connection) {
      connection = std::make_unique<ClientConnection>(self->address, self->port,
                                                      self->options);
      Result<void> connected = co_await connection->connect(deadline);
      if (!connected) {
        co_return tl::unexpected(std::move(connected.error()));
      }
    }
    Result<Response> response =
        co_await connection->exchange(std::move(request), deadline);
    if (connection->usable() && self->idle.size() < self->most_idle) {
      self->idle.push_back(std::move(connection));
    }
    co_return response;
  }

 private:
  [[nodiscard]] std::unique_ptr<ClientConnection> take_idle() {
    while (!this->idle.empty()) {
      std::unique_ptr<ClientConnection> last = std::move(this->idle.back());
      this->idle.pop_back();
      if (last->usable()) {
        return last;
      }
    }
    return nullptr;
  }

  const std::string address;
  const std::uint16_t port;
  const std::size_t most_idle;
  const ClientOptions options;
  std::vector<std::unique_ptr<ClientConnection>> idle;
};

ClientPool::ClientPool(std::string address,
                       std::uint16_t port,
                       std::size_t most_idle,
                       ClientOptions options)
    : impl(std::make_shared<Impl>(std::move(address),
                                  port,
                                  most_idle,
                                  std::move(options))) {}

ClientPool::~ClientPool() = default;

Task<Result<Response>> ClientPool::send(Request request, TimePoint deadline) {
  return Impl::send(this->impl,
                    std::make_shared<const Request>(std::move(request)),
                    deadline);
}

}  // namespace ibismux::http
