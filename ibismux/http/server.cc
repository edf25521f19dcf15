#include "ibismux/http/server.h"

#include <linux/filter.h>
#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <cstdint>
#include <iterator>
#include <utility>
#include <vector>

#include "ibismux/base/io_pool.h"
#include "ibismux/http/server_connection.h"
#include "ibismux/http/server_core.h"
#include "ibismux/http/socket.h"
#include "ibismux/http/wire_format.h"

namespace ibismux::http {

namespace {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;

// How long half-open connections have to complete before a draining server
// closes its listening socket: many round trips between zones.
constexpr Duration kHandshakeTime = std::chrono::milliseconds(50);

// How long accepting rests when the process has no descriptor left; without
// the rest the loop would spin on the error.
constexpr Duration kAcceptPause = std::chrono::milliseconds(20);

/// Makes a listening socket begin no new connection; those that are half open
/// still complete.
///
/// A connection that completes between the last accept and the close is reset
/// together with its request: its client sees an exchange cut by a planned
/// stop. A client whose first packet is dropped sends it again after a second
/// and is refused then, before it has sent a request.
void drop_new_connections(TcpAcceptor& acceptor) {
  // The filter sees a packet from its TCP header on.
  constexpr std::uint32_t kFlagsOffset = 13;
  constexpr std::uint32_t kSyn = 0x02;
  constexpr std::uint32_t kDrop = 0;
  constexpr std::uint32_t kPass = 0xffffffff;
  sock_filter code[] = {BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kFlagsOffset),
                        BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, kSyn, 0, 1),
                        BPF_STMT(BPF_RET | BPF_K, kDrop),
                        BPF_STMT(BPF_RET | BPF_K, kPass)};
  const sock_fprog program{std::size(code), code};
  // Where the system refuses filters, the short gap remains.
  ::setsockopt(acceptor.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program,
               sizeof program);
}

/// Accepts connections and deals them to the loops in turn.
///
/// Belongs to the pool's first loop, which is the first to be destroyed: a
/// pending accept holds a socket of another loop.
class Listener : public std::enable_shared_from_this<Listener> {
 public:
  Listener(IoPool& pool,
           std::shared_ptr<ServerCore> core,
           std::vector<std::shared_ptr<ServerLoop>> loops)
      : core(std::move(core)),
        loops(std::move(loops)),
        acceptor(pool.at(0).get_executor()),
        pause(pool.at(0).get_executor()),
        closing(pool.at(0).get_executor()) {}

  [[nodiscard]] Result<std::uint16_t> bind(const std::string& address,
                                           std::uint16_t port);
  void accept();
  void close();

  /// Serves new connections for the grace, then takes those that are half open
  /// or wait, whose clients may have sent their requests, and closes.
  /// @param counted Counts as in flight until then.
  void drain(const std::shared_ptr<Counted>& counted);

 private:
  void on_accept(const ErrorCode& error,
                 TcpSocket socket,
                 const std::shared_ptr<ServerLoop>& loop);
  void serve(TcpSocket socket, const std::shared_ptr<ServerLoop>& loop);
  void rest();
  void accept_rest();
  template <class Next>
  void after(Duration wait, Next next);

  const std::shared_ptr<ServerCore> core;
  const std::vector<std::shared_ptr<ServerLoop>> loops;
  TcpAcceptor acceptor;
  Timer pause;
  Timer closing;
  std::size_t turn = 0;
};

Result<std::uint16_t> Listener::bind(const std::string& address,
                                     std::uint16_t port) {
  ErrorCode error;
  const auto ip = asio::ip::make_address(address, error);
  if (error) {
    return fail(ErrorKind::kInvalidRequest, "not an address: " + address);
  }
  const asio::ip::tcp::endpoint endpoint(ip, port);
  this->acceptor.open(endpoint.protocol(), error);
  if (!error) {
    this->acceptor.set_option(TcpAcceptor::reuse_address(true), error);
  }
  if (!error) {
    this->acceptor.bind(endpoint, error);
  }
  if (!error) {
    this->acceptor.listen(TcpAcceptor::max_listen_connections, error);
  }
  if (error) {
    return fail(ErrorKind::kInternal, "listen on " + address + ':' +
                                          std::to_string(port) + ": " +
                                          error.message());
  }
  return this->acceptor.local_endpoint().port();
}

void Listener::accept() {
  const auto& loop = this->loops[this->turn++ % this->loops.size()];
  this->acceptor.async_accept(loop->context.get_executor(),
                              [self = this->shared_from_this(), loop](
                                  const ErrorCode& error, TcpSocket socket) {
                                self->on_accept(error, std::move(socket), loop);
                              });
}

void Listener::on_accept(const ErrorCode& error,
                         TcpSocket socket,
                         const std::shared_ptr<ServerLoop>& loop) {
  if (!error) {
    // Also when the acceptor was closed since: the client may have sent.
    this->serve(std::move(socket), loop);
  }
  if (!this->acceptor.is_open()) {
    return;
  }
  if (error) {
    this->rest();
  } else {
    this->accept();
  }
}

void Listener::serve(TcpSocket socket,
                     const std::shared_ptr<ServerLoop>& loop) {
  if (this->core->connections.load() >=
      this->core->limits.read()->connections) {
    ErrorCode ignored;
    const Response full =
        refusal(503, ErrorKind::kOverloaded, "too many connections");
    std::string text;
    append_head(text, full, false);
    text += full.body;
    socket.non_blocking(true, ignored);
    socket.write_some(asio::buffer(text), ignored);
    socket.shutdown(TcpSocket::shutdown_send, ignored);
  } else {
    // Counted from here on, so that a burst can't pass the limit.
    const auto connection =
        std::make_shared<ServerConnection>(std::move(socket), this->core, loop);
    asio::post(loop->context,
               [connection, loop,
                counted = Counted(this->core, &ServerCore::in_flight)] {
                 loop->connections.insert(connection);
                 connection->start();
               });
  }
}

void Listener::drain(const std::shared_ptr<Counted>& counted) {
  this->after(this->core->limits.read()->drain_grace, [this, counted] {
    drop_new_connections(this->acceptor);
    this->after(kHandshakeTime, [this, counted] { this->accept_rest(); });
  });
}

void Listener::accept_rest() {
  ErrorCode error;
  this->acceptor.non_blocking(true, error);
  while (!error) {
    const auto& loop = this->loops[this->turn++ % this->loops.size()];
    TcpSocket socket(loop->context.get_executor());
    this->acceptor.accept(socket, error);
    if (!error) {
      this->serve(std::move(socket), loop);
    }
  }
  this->close();
}

void Listener::close() {
  ErrorCode ignored;
  this->acceptor.close(ignored);
  this->pause.cancel();
  this->closing.cancel();
}

/// Runs `next` later, unless the listener is closed by then.
template <class Next>
void Listener::after(Duration wait, Next next) {
  this->closing.expires_after(wait);
  this->closing.async_wait(
      [self = this->shared_from_this(), next](const ErrorCode& error) {
        if (!error && self->acceptor.is_open()) {
          next();
        }
      });
}

void Listener::rest() {
  this->pause.expires_after(kAcceptPause);
  this->pause.async_wait(
      [self = this->shared_from_this()](const ErrorCode& error) {
        if (!error && self->acceptor.is_open()) {
          self->accept();
        }
      });
}

}  // namespace

class Server::Impl {
 public:
  Impl(IoPool& pool, ServerLimits limits, Handler handler)
      : pool(pool), core(std::make_shared<ServerCore>(limits)) {
    this->core->handler = std::move(handler);
    for (std::size_t i = 0; i < pool.size(); ++i) {
      this->loops.push_back(
          std::make_shared<ServerLoop>(ServerLoop{pool.at(i), {}}));
    }
  }

  [[nodiscard]] Result<std::uint16_t> listen(const std::string& address,
                                             std::uint16_t port) {
    const auto fresh =
        std::make_shared<Listener>(this->pool, this->core, this->loops);
    Result<std::uint16_t> bound = fresh->bind(address, port);
    if (bound) {
      this->listeners.push_back(fresh);
      asio::post(this->pool.at(0), [fresh] { fresh->accept(); });
    }
    return bound;
  }

  void drain() {
    this->core->drain_end =
        Clock::now() + this->core->limits.read()->drain_grace;
    this->core->draining = true;
    for (const auto& listener : this->listeners) {
      asio::post(this->pool.at(0), [listener, counted = this->hold()] {
        listener->drain(counted);
      });
    }
    this->visit_all(&ServerConnection::drain);
  }

  void cancel_requests() {
    this->core->cancelling = true;
    this->visit_all(&ServerConnection::cancel_request);
  }

  void stop() {
    this->core->stopped = true;
    for (const auto& listener : this->listeners) {
      asio::post(this->pool.at(0), [listener] { listener->close(); });
    }
    this->visit_all(&ServerConnection::close);
  }

  IoPool& pool;
  const std::shared_ptr<ServerCore> core;

 private:
  /// Does `visit` to each connection on its own loop; counts as in flight until
  /// it is done.
  void visit_all(void (ServerConnection::*visit)()) {
    for (const auto& loop : this->loops) {
      asio::post(loop->context, [loop, visit, counted = this->hold()] {
        const auto all = loop->connections;
        for (const auto& connection : all) {
          ((*connection).*visit)();
        }
      });
    }
  }

  [[nodiscard]] std::shared_ptr<Counted> hold() const {
    return std::make_shared<Counted>(this->core, &ServerCore::in_flight);
  }

  std::vector<std::shared_ptr<ServerLoop>> loops;
  std::vector<std::shared_ptr<Listener>> listeners;
};

Server::Server(IoPool& pool, ServerLimits limits, Handler handler)
    : impl(std::make_shared<Impl>(pool, limits, std::move(handler))) {}

Server::~Server() {
  this->stop();
}

Result<std::uint16_t> Server::listen(const std::string& address,
                                     std::uint16_t port) {
  return this->impl->listen(address, port);
}

void Server::set_limits(ServerLimits limits) {
  this->impl->core->limits.write(std::make_shared<const ServerLimits>(limits));
}

void Server::drain() {
  this->impl->drain();
}

void Server::cancel_requests() {
  this->impl->cancel_requests();
}

std::size_t Server::connections() const noexcept {
  return this->impl->core->connections.load(std::memory_order_acquire);
}

std::size_t Server::in_flight() const noexcept {
  return this->impl->core->in_flight.load(std::memory_order_acquire);
}

OpenRequests Server::open_requests() const noexcept {
  const ServerCore& core = *this->impl->core;
  return {core.reading.load(std::memory_order_acquire),
          core.handling.load(std::memory_order_acquire),
          core.writing.load(std::memory_order_acquire)};
}

void Server::stop() {
  this->impl->stop();
}

}  // namespace ibismux::http
