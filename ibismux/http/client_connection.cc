#include "ibismux/http/client_connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <sstream>
#include <utility>

#include "ibismux/http/client_connection_impl.h"
#include "ibismux/http/silence_limit.h"
#include "ibismux/http/wire_format.h"

namespace ibismux::http {

namespace {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;

constexpr std::size_t kInputBuffer = 8 * 1024;
constexpr std::size_t kMostInputBuffer = 256 * 1024;
// What is dropped in one exchange, of interim responses and of answers to
// earlier requests. A server that sends more sends without end.
constexpr std::size_t kMostInterimBytes = 1024 * 1024;
constexpr std::size_t kMostLateResponses = 64;
// The memory of a response up to this size isn't counted.
constexpr std::size_t kUncountedMemory = 16 * 1024;
// A body up to this size is copied behind the head and goes out as one buffer.
constexpr std::size_t kMostCopiedBody = 16 * 1024;

}  // namespace

ClientConnection::Impl::Impl(std::string address,
                             std::uint16_t port,
                             ClientOptions options)
    : address(std::move(address)),
      port(port),
      options(std::move(options)),
      parser(this->options.max_body, this->options.body_may_end_by_close),
      input(kInputBuffer) {}

Task<Result<void>> ClientConnection::Impl::connect(std::shared_ptr<Impl> self,
                                                   TimePoint deadline) {
  const auto executor = co_await asio::this_coro::executor;
  auto& context = static_cast<asio::io_context&>(executor.context());
  self->opening++;
  self->sent = false;
  self->has_sent_head = false;
  self->failure.reset();
  self->filled = 0;
  ErrorCode error;
  const auto ip = asio::ip::make_address(self->address, error);
  if (error) {
    co_return tl::unexpected(self->exchange_error(
        ErrorKind::kLeafUnavailable, "not an address: " + self->address));
  }
  if (deadline <= Clock::now()) {
    co_return tl::unexpected(self->exchange_error(ErrorKind::kDeadlineExceeded,
                                                  "no time left to connect"));
  }
  std::ostringstream host;
  host << "Host: " << asio::ip::tcp::endpoint(ip, self->port) << "\r\n";
  self->host_line = std::move(host).str();
  self->socket.emplace(context.get_executor());
  self->timer.emplace(context.get_executor());
  self->armed_for = TimePoint::max();
  self->phase = Phase::kConnecting;
  self->arm_timer(deadline);
  co_await asio::async_initiate<const asio::use_awaitable_t<>&, void()>(
      [](Waiter&& waiter, Impl* impl, const asio::ip::tcp::endpoint& endpoint) {
        impl->waiter.emplace(std::move(waiter));
        impl->socket->async_connect(
            endpoint, Completion<&Impl::on_connect>(impl->shared_from_this()));
      },
      asio::use_awaitable, self.get(), asio::ip::tcp::endpoint(ip, self->port));
  if (self->failure) {
    co_return tl::unexpected(*std::exchange(self->failure, std::nullopt));
  }
  co_return Result<void>();
}

void ClientConnection::Impl::on_connect(const ErrorCode& error, std::size_t) {
  if (this->phase == Phase::kConnecting) {
    ErrorCode ignored;
    if (error) {
      this->close(this->exchange_error(
          is_own_fault(error) ? ErrorKind::kInternal
                              : ErrorKind::kLeafUnavailable,
          "connect to " + this->address + ": " + error.message()));
    } else {
      this->phase = Phase::kIdle;
      this->deadline = TimePoint::max();
      this->socket->set_option(asio::ip::tcp::no_delay(true), ignored);
      if (this->options.silence_limit) {
        limit_silence(*this->socket, *this->options.silence_limit);
      }
      this->socket->non_blocking(true, ignored);
      this->read();
    }
  }
  this->resume();
}

Task<Result<Response>> ClientConnection::Impl::exchange(
    std::shared_ptr<Impl> self,
    std::shared_ptr<const Request> request,
    TimePoint deadline,
    AnswerTest is_answer,
    ExtraFields extra) {
  self->sent = false;
  if (self->phase != Phase::kIdle) {
    co_return tl::unexpected(self->exchange_error(ErrorKind::kLeafUnavailable,
                                                  "connection is not usable"));
  }
  self->phase = Phase::kExchange;
  self->response_begun = false;
  self->interim_bytes = 0;
  self->late_responses = 0;
  if (deadline <= Clock::now()) {
    self->close(self->exchange_error(ErrorKind::kDeadlineExceeded,
                                     "no time left to send"));
    co_return tl::unexpected(*std::exchange(self->failure, std::nullopt));
  }
  if (!self->is_quiet()) {
    self->close(self->exchange_error(ErrorKind::kLeafUnavailable,
                                     "closed by the server while idle"));
    co_return tl::unexpected(*std::exchange(self->failure, std::nullopt));
  }
  self->request = std::move(request);
  const bool is_head = self->request->method == "HEAD";
  self->has_sent_head = self->has_sent_head || is_head;
  self->is_answer = std::move(is_answer);
  self->response = Response{};
  self->parser.start(self->response, is_head);
  self->arm_timer(deadline);
  self->start_send(*self->request, extra);
  if (self->phase == Phase::kExchange) {
    co_await asio::async_initiate<const asio::use_awaitable_t<>&, void()>(
        [](Waiter&& waiter, Impl* impl) {
          impl->waiter.emplace(std::move(waiter));
        },
        asio::use_awaitable, self.get());
  }
  self->request.reset();
  if (self->failure) {
    self->response = Response{};
    co_return tl::unexpected(*std::exchange(self->failure, std::nullopt));
  }
  co_return std::move(self->response);
}

bool ClientConnection::Impl::is_quiet() {
  // The pending read tells what the event loop has seen. A server's close that
  // came since would swallow the request, and a reservation would end as
  // "outcome unknown" that was never run.
  if (this->just_read) {
    return true;
  }
  char byte = 0;
  ErrorCode error;
  this->socket->receive(asio::buffer(&byte, 1), TcpSocket::message_peek, error);
  return error == asio::error::would_block;
}

void ClientConnection::Impl::start_send(const Request& request,
                                        const ExtraFields& extra) {
  this->output.clear();
  append_head(this->output, request, this->host_line, extra);
  const bool copied = request.body.size() <= kMostCopiedBody;
  if (copied) {
    this->output += request.body;
  }
  ErrorCode error;
  const std::size_t bytes =
      this->socket->write_some(asio::buffer(this->output), error);
  this->sent = bytes > 0;
  if (error && error != asio::error::would_block) {
    this->close(this->exchange_error(ErrorKind::kLeafUnavailable,
                                     "send: " + error.message()));
    return;
  }
  if (copied && bytes == this->output.size()) {
    return;
  }
  this->sending = true;
  // From here the system may take bytes at any moment.
  this->sent = true;
  const std::array<asio::const_buffer, 2> rest = {
      asio::buffer(this->output) + bytes,
      copied ? asio::const_buffer() : asio::buffer(request.body)};
  asio::async_write(*this->socket, rest,
                    Completion<&Impl::on_sent>(this->shared_from_this()));
}

void ClientConnection::Impl::on_sent(const ErrorCode& error, std::size_t) {
  this->sending = false;
  if (error && this->phase == Phase::kExchange) {
    this->fail_exchange(ErrorKind::kLeafUnavailable,
                        "send: " + error.message());
  }
}

void ClientConnection::Impl::read() {
  this->socket->async_read_some(
      asio::buffer(this->input.data() + this->filled,
                   this->input.size() - this->filled),
      Completion<&Impl::on_read>(this->shared_from_this()));
}

void ClientConnection::Impl::on_read(const ErrorCode& error,
                                     std::size_t bytes) {
  if (this->phase == Phase::kClosed) {
    this->resume();
    return;
  }
  if (error == asio::error::eof && this->phase == Phase::kExchange &&
      this->response_begun && this->parser.finish()) {
    this->on_response(true);
    return;
  }
  if (error) {
    const bool cut = this->response_begun;
    this->fail_exchange(
        cut ? ErrorKind::kProtocolError : ErrorKind::kLeafUnavailable,
        cut ? "response cut short: " + error.message()
            : "connection lost: " + error.message());
    return;
  }
  if (this->phase == Phase::kIdle) {
    // A response that no request asked for would be taken for the answer to
    // the next one: a caller would get another's. Notice: the next response
    // doesn't match its request.
    this->close(make_error(ErrorKind::kProtocolError, "response out of turn"));
    return;
  }
  this->on_bytes(bytes);
}

void ClientConnection::Impl::on_bytes(std::size_t bytes) {
  this->filled += bytes;
  std::size_t consumed = 0;
  for (;;) {
    this->response_begun = true;
    const ParseStep step = this->parser.feed(
        {this->input.data() + consumed, this->filled - consumed});
    consumed += step.consumed;
    this->interim_bytes += step.interim;
    if (step.state == ParseState::kFailed) {
      this->fail_exchange(ErrorKind::kProtocolError,
                          "bad response: " + step.message);
      return;
    }
    const bool is_done = step.state == ParseState::kDone;
    // A response that ends with the connection is tested by its head: the
    // server may keep the connection open until the deadline.
    const bool is_late = (is_done || this->parser.ends_by_close()) &&
                         this->is_answer && !this->is_answer(this->response);
    if (is_done && !is_late) {
      this->filled -= consumed;
      this->on_response(this->filled > 0);
      return;
    }
    if (is_late && !this->drop_late_response()) {
      return;
    }
    if (this->interim_bytes > kMostInterimBytes ||
        this->late_responses > kMostLateResponses) {
      this->fail_exchange(ErrorKind::kProtocolError,
                          "too many responses that are no answer");
      return;
    }
    if (!is_late || consumed == this->filled) {
      break;
    }
  }
  this->filled -= consumed;
  std::copy_n(this->input.data() + consumed, this->filled, this->input.data());
  if (bytes >= this->input.size() / 2 &&
      this->input.size() < kMostInputBuffer) {
    this->input.resize(this->input.size() * 2);
  }
  if (this->count_memory()) {
    this->read();
  } else {
    this->resume();
  }
}

bool ClientConnection::Impl::count_memory() {
  const std::size_t held =
      this->input.capacity() + this->response.body.capacity();
  return !this->options.response_memory || held <= kUncountedMemory ||
         this->options.response_memory->update(*this, held);
}

void ClientConnection::Impl::release_memory() {
  if (this->options.response_memory) {
    this->options.response_memory->release(*this);
  }
}

void ClientConnection::Impl::give_up_response() {
  // Resumes the exchange when the pending read ends: this may be called from
  // the exchange of another connection.
  this->close(this->exchange_error(
      ErrorKind::kProtocolError,
      "response given up after " + std::to_string(this->response.body.size()) +
          " bytes of its body, as all responses take too much memory"));
  this->response = Response{};
}

bool ClientConnection::Impl::drop_late_response() {
  // Taken for the answer, it would give this caller what another one asked for.
  // Where a HEAD was sent its end is unknown: whether it has a body depends on
  // the request that it answers.
  if (this->has_sent_head || !this->parser.keep_alive()) {
    this->fail_exchange(ErrorKind::kLeafUnavailable,
                        "closed behind an answer to an earlier request");
    return false;
  }
  ++this->late_responses;
  this->response = Response{};
  this->response_begun = false;
  this->parser.start(this->response, false);
  return true;
}

void ClientConnection::Impl::on_response(bool bytes_left) {
  // A server may answer before it has read the whole request. What it reads
  // next on this connection must be the rest of that request, not a new one.
  if (bytes_left || this->sending || !this->parser.keep_alive()) {
    this->close(make_error(ErrorKind::kLeafUnavailable, "closed by response"));
    this->failure.reset();
  } else {
    this->phase = Phase::kIdle;
    this->deadline = TimePoint::max();
    this->release_memory();
    if (this->input.size() > kInputBuffer) {
      // No other response may need the space of this one.
      std::vector<char>(kInputBuffer).swap(this->input);
    }
    this->read();
  }
  this->just_read = true;
  this->resume();
  this->just_read = false;
}

void ClientConnection::Impl::fail_exchange(ErrorKind kind,
                                           std::string message) {
  this->close(this->exchange_error(kind, std::move(message)));
  this->resume();
}

void ClientConnection::Impl::resume() {
  if (this->waiter) {
    Waiter ready = *std::exchange(this->waiter, std::nullopt);
    ready();
  }
}

void ClientConnection::Impl::arm_timer(TimePoint when) {
  this->deadline = when;
  if (when >= this->armed_for) {
    return;
  }
  this->armed_for = when;
  this->timer->expires_at(when);
  this->timer->async_wait(
      [self = this->weak_from_this()](const ErrorCode& error) {
        if (const auto impl = self.lock()) {
          impl->on_timer(error);
        }
      });
}

void ClientConnection::Impl::on_timer(const ErrorCode& error) {
  if (error || this->phase == Phase::kClosed) {
    return;
  }
  this->armed_for = TimePoint::max();
  if (this->phase == Phase::kIdle) {
    return;
  }
  if (this->deadline > Clock::now()) {
    this->arm_timer(this->deadline);
    return;
  }
  this->close(this->exchange_error(ErrorKind::kDeadlineExceeded,
                                   "no response before the deadline"));
}

void ClientConnection::Impl::close(Error reason) noexcept {
  if (this->phase == Phase::kClosed) {
    return;
  }
  this->phase = Phase::kClosed;
  this->sending = false;
  this->failure = std::move(reason);
  this->armed_for = TimePoint::max();
  ErrorCode ignored;
  this->timer->cancel();
  this->socket->close(ignored);
  this->release_memory();
}

ClientConnection::ClientConnection(std::string address,
                                   std::uint16_t port,
                                   ClientOptions options)
    : impl(std::make_shared<Impl>(std::move(address),
                                  port,
                                  std::move(options))) {}

ClientConnection::~ClientConnection() {
  this->close();
}

Task<Result<void>> ClientConnection::connect(TimePoint deadline) {
  return Impl::connect(this->impl, deadline);
}

Task<Result<Response>> ClientConnection::exchange(
    std::shared_ptr<const Request> request,
    TimePoint deadline,
    AnswerTest is_answer,
    ExtraFields extra) {
  return Impl::exchange(this->impl, std::move(request), deadline,
                        std::move(is_answer), std::move(extra));
}

bool ClientConnection::usable() const noexcept {
  return this->impl->usable();
}

void ClientConnection::close() noexcept {
  Error reason = make_error(ErrorKind::kCancelled, "closed");
  this->impl->close(std::move(reason));
}

}  // namespace ibismux::http
