#include "ibismux/http/server_connection.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "ibismux/http/wire_format.h"

namespace ibismux::http {

namespace {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;

// Bytes of later requests that are kept while one is being handled. Beyond
// them the client must wait, and its going away shows only at the write.
constexpr std::size_t kMostPipelined = 64 * 1024;
// How much and how long a client whose request was refused may still send. To
// close with unread bytes resets the connection, which can destroy the refusal
// before the client has read it.
constexpr std::size_t kMostDropped = 8 * 1024 * 1024;
constexpr Duration kMostLinger = std::chrono::seconds(2);
// How long a request is awaited at least on a connection of a draining server:
// some round trips between zones.
constexpr Duration kMinFirstRequestTime = std::chrono::milliseconds(200);

std::string remote_of(const TcpSocket& socket) {
  ErrorCode error;
  const auto endpoint = socket.remote_endpoint(error);
  return error ? std::string() : endpoint.address().to_string();
}

ErrorKind kind_of(int status) {
  return status == 413 ? ErrorKind::kTooLarge : ErrorKind::kInvalidRequest;
}

}  // namespace

ServerConnection::ServerConnection(TcpSocket socket,
                                   std::shared_ptr<ServerCore> core,
                                   std::weak_ptr<ServerLoop> loop)
    : socket(std::move(socket)),
      core(std::move(core)),
      loop(std::move(loop)),
      counted(this->core, &ServerCore::connections),
      remote(remote_of(this->socket)),
      timer(this->socket.get_executor()),
      parser(this->core->limits.read()->header_bytes,
             this->core->limits.read()->body_bytes) {}

void ServerConnection::start() {
  ErrorCode ignored;
  if (this->core->stopped.load()) {
    this->close();
    return;
  }
  this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  this->arm_timer(Clock::now() + this->timer_period());
  this->await_request();
}

void ServerConnection::drain() {
  if (this->phase != Phase::kIdle) {
    return;
  }
  // Counted, or whoever waits for the last request would stop the server while
  // the next one of this client is on its way.
  this->count_in_flight();
  const TimePoint end = std::max(this->core->drain_end.load(),
                                 Clock::now() + kMinFirstRequestTime);
  this->deadline = std::min(this->deadline, end);
  this->arm_timer(this->deadline);
}

void ServerConnection::cancel_request() {
  if (this->phase == Phase::kReading) {
    this->refuse_for_stop();
  } else if (this->phase == Phase::kHandling) {
    this->set_deadline(kCancelledHandlerTime);
    this->arm_timer(this->deadline);
    // Replaced when the handler answers from its callback.
    const auto cancelled = this->token;
    cancelled->cancel(CancelReason::kStopping);
  }
}

void ServerConnection::close() {
  if (this->phase == Phase::kClosed) {
    return;
  }
  const auto self = this->shared_from_this();
  this->set_phase(Phase::kClosed);
  this->in_flight.reset();
  this->timer.cancel();
  ErrorCode ignored;
  this->socket.close(ignored);
  if (const auto owner = this->loop.lock()) {
    owner->connections.erase(self);
  }
  if (const auto cancelled = std::exchange(this->token, nullptr)) {
    cancelled->cancel(CancelReason::kClientGone);
  }
}

void ServerConnection::await_request() {
  this->set_phase(Phase::kIdle);
  this->set_deadline(this->core->limits.read()->idle_timeout);
  this->request = std::make_shared<Request>();
  this->request->remote = this->remote;
  this->request->opens_connection = !std::exchange(this->had_request, true);
  this->parser.start(*this->request);
  this->parse();
  if (this->phase != Phase::kIdle) {
    return;
  }
  // The last request stays counted until here: a drain that saw 0 in between
  // would be followed by a stop.
  if (this->core->draining.load()) {
    this->drain();
  } else {
    this->in_flight.reset();
  }
}

void ServerConnection::read() {
  if (this->reading || this->peer_done) {
    return;
  }
  this->reading = true;
  this->socket.async_read_some(asio::buffer(this->chunk),
                               [self = this->shared_from_this()](
                                   const ErrorCode& error, std::size_t bytes) {
                                 self->reading = false;
                                 self->on_read(error, bytes);
                               });
}

void ServerConnection::on_read(const ErrorCode& error, std::size_t bytes) {
  if (this->phase == Phase::kClosed) {
    return;
  }
  if (this->phase == Phase::kLingering) {
    this->on_lingering(error, bytes);
    return;
  }
  if (error) {
    this->on_end(error);
    return;
  }
  this->input.append(this->chunk.data(), bytes);
  if (this->phase == Phase::kIdle || this->phase == Phase::kReading) {
    this->parse();
  } else if (this->input.size() < kMostPipelined) {
    this->read();
  }
}

void ServerConnection::on_end(const ErrorCode& error) {
  this->peer_done = true;
  if (this->phase == Phase::kHandling || this->phase == Phase::kWriting) {
    if (this->token) {
      this->token->cancel(CancelReason::kClientGone);
    }
  } else if (this->phase == Phase::kReading && error == asio::error::eof) {
    this->refuse(400, ErrorKind::kInvalidRequest, "request was cut short");
  } else {
    this->close();
  }
}

void ServerConnection::parse() {
  if (!this->input.empty()) {
    if (this->phase == Phase::kIdle) {
      this->set_phase(Phase::kReading);
      this->count_in_flight();
      this->set_deadline(this->core->limits.read()->transfer_timeout);
    }
    const ParseStep step = this->parser.feed(this->input);
    this->input.erase(0, step.consumed);
    if (step.state == ParseState::kFailed) {
      this->refuse(step.status, kind_of(step.status), step.message);
      return;
    }
    if (step.state == ParseState::kDone) {
      this->handle();
      return;
    }
    if (this->parser.take_expect_continue()) {
      this->send_continue();
    }
  }
  if (this->peer_done) {
    this->on_end(asio::error::eof);
  }
  this->read();
}

void ServerConnection::send_continue() {
  // An informational line is small and best effort: a client that doesn't get
  // it sends its body after a wait of its own.
  ErrorCode ignored;
  this->socket.non_blocking(true, ignored);
  this->socket.write_some(
      asio::buffer(std::string_view("HTTP/1.1 100 Continue\r\n\r\n")), ignored);
}

void ServerConnection::handle() {
  if (this->core->cancelling.load()) {
    this->refuse_for_stop();
    return;
  }
  this->set_phase(Phase::kHandling);
  this->deadline = TimePoint::max();
  this->token = std::make_shared<CancelToken>();
  auto done = [self = this->shared_from_this()](
                  const std::exception_ptr& thrown, Response response) {
    self->on_answer(thrown, std::move(response));
  };
  this->read();
  try {
    asio::co_spawn(this->socket.get_executor(),
                   this->core->handler(this->request, this->token),
                   std::move(done));
  } catch (...) {
    this->on_answer(std::current_exception(), Response{});
  }
}

void ServerConnection::on_answer(const std::exception_ptr& thrown,
                                 Response response) {
  if (this->phase != Phase::kHandling) {
    return;
  }
  if (thrown) {
    response = refusal(500, ErrorKind::kInternal, "the handler failed");
  }
  // A draining server still answers pipelined requests that are here.
  const bool awaits_more = !this->core->draining.load() || !this->input.empty();
  const bool keep_alive =
      this->parser.keep_alive() && !this->peer_done && awaits_more;
  this->write(std::move(response), keep_alive);
}

void ServerConnection::refuse(int status,
                              ErrorKind kind,
                              const std::string& message) {
  this->write(refusal(status, kind, message), false);
}

void ServerConnection::refuse_for_stop() {
  const bool is_keyed = this->core->limits.read()->keyed_requests;
  Response response =
      refusal(503, ErrorKind::kNotReady, "the server is stopping",
              is_keyed ? Execution::kUnknown : Execution::kNotRun);
  // Another server can take it at once.
  response.add("Retry-After", "0");
  this->write(std::move(response), false);
}

void ServerConnection::write(Response response, bool keep_alive) {
  this->set_phase(Phase::kWriting);
  this->set_deadline(this->core->limits.read()->transfer_timeout);
  this->response = std::move(response);
  this->head.clear();
  append_head(this->head, this->response, keep_alive);
  const bool with_body =
      this->request->method != "HEAD" && may_have_body(this->response.status);
  const std::array<asio::const_buffer, 2> buffers = {
      asio::buffer(this->head),
      with_body ? asio::buffer(this->response.body) : asio::const_buffer()};
  asio::async_write(this->socket, buffers,
                    [self = this->shared_from_this(), keep_alive](
                        const ErrorCode& error, std::size_t) {
                      self->on_written(error, keep_alive);
                    });
}

void ServerConnection::on_written(const ErrorCode& error, bool keep_alive) {
  if (this->phase == Phase::kClosed) {
    return;
  }
  this->token.reset();
  if (error) {
    this->close();
  } else if (keep_alive && !this->peer_done) {
    this->await_request();
  } else {
    this->linger();
  }
}

void ServerConnection::linger() {
  this->set_phase(Phase::kLingering);
  this->in_flight.reset();
  this->set_deadline(
      std::min(this->core->limits.read()->transfer_timeout, kMostLinger));
  ErrorCode ignored;
  this->socket.shutdown(TcpSocket::shutdown_send, ignored);
  if (this->peer_done) {
    this->close();
    return;
  }
  this->arm_timer(this->deadline);
  this->read();
}

void ServerConnection::on_lingering(const ErrorCode& error, std::size_t bytes) {
  this->dropped += bytes;
  if (error || this->dropped > kMostDropped) {
    this->close();
    return;
  }
  this->read();
}

void ServerConnection::set_phase(Phase next) {
  static constexpr std::array<Counted::Counter, kPhases> kCounters{
      nullptr, &ServerCore::reading, &ServerCore::handling,
      &ServerCore::writing};
  this->phase = next;
  this->phase_counted.reset();
  if (const auto counter = kCounters[static_cast<std::size_t>(next)]) {
    this->phase_counted.emplace(this->core, counter);
  }
}

void ServerConnection::count_in_flight() {
  // Not counted anew, which would show 0 in between.
  if (!this->in_flight) {
    this->in_flight.emplace(this->core, &ServerCore::in_flight);
  }
}

void ServerConnection::set_deadline(Duration from_now) {
  this->deadline = Clock::now() + from_now;
}

void ServerConnection::arm_timer(TimePoint when) {
  this->timer.expires_at(when);
  this->timer.async_wait(
      [self = this->shared_from_this()](const ErrorCode& error) {
        if (!error) {
          self->on_timer();
        }
      });
}

void ServerConnection::on_timer() {
  if (this->phase == Phase::kClosed) {
    return;
  }
  const TimePoint now = Clock::now();
  if (this->deadline <= now) {
    this->on_deadline();
  }
  if (this->phase == Phase::kClosed) {
    return;
  }
  this->arm_timer(std::min(this->deadline, now + this->timer_period()));
}

Duration ServerConnection::timer_period() const {
  return std::min(this->core->limits.read()->idle_timeout,
                  this->core->limits.read()->transfer_timeout);
}

void ServerConnection::on_deadline() {
  if (this->phase == Phase::kReading) {
    this->refuse(408, ErrorKind::kInvalidRequest, "request took too long");
    return;
  }
  if (this->phase == Phase::kHandling) {
    this->refuse(502, ErrorKind::kOutcomeUnknown, "the server is stopping");
    return;
  }
  // A request may have come since the loop last looked: it is in flight, and
  // a planned stop cuts none.
  ErrorCode ignored;
  if (this->phase == Phase::kIdle && this->socket.available(ignored) > 0) {
    this->set_deadline(this->core->limits.read()->transfer_timeout);
    return;
  }
  this->close();
}

}  // namespace ibismux::http
