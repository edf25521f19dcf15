#ifndef IBISMUX_HTTP_CLIENT_CONNECTION_IMPL_H_
#define IBISMUX_HTTP_CLIENT_CONNECTION_IMPL_H_

#include <boost/asio/use_awaitable.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "ibismux/http/client_connection.h"
#include "ibismux/http/parser.h"
#include "ibismux/http/response_memory.h"
#include "ibismux/http/socket.h"

namespace ibismux::http {

/// A read is pending at all times while the connection is open: between
/// exchanges it reports a server that closes or speaks out of turn without a
/// system call of its own, and within one it brings the response.
class ClientConnection::Impl final
    : public std::enable_shared_from_this<ClientConnection::Impl>,
      private ResponseMemory::Reader {
 public:
  Impl(std::string address, std::uint16_t port, ClientOptions options);

  [[nodiscard]] static Task<Result<void>> connect(std::shared_ptr<Impl> self,
                                                  TimePoint deadline);
  [[nodiscard]] static Task<Result<Response>> exchange(
      std::shared_ptr<Impl> self,
      std::shared_ptr<const Request> request,
      TimePoint deadline,
      AnswerTest is_answer,
      ExtraFields extra);

  [[nodiscard]] bool usable() const noexcept {
    return this->phase == Phase::kIdle;
  }

  void close(Error reason) noexcept;

 private:
  using ErrorCode = boost::system::error_code;

  enum class Phase : unsigned char { kClosed, kConnecting, kIdle, kExchange };

  /// The suspended coroutine of `connect()` or `exchange()`.
  using Waiter = boost::asio::async_result<boost::asio::use_awaitable_t<>,
                                           void()>::handler_type;

  /// Completion of a socket operation.
  ///
  /// The waiting coroutine's frame owns the connection, which owns the waiter:
  /// an event loop that is destroyed with the operation pending would leak all
  /// of them. So an operation that is destroyed uncalled drops the waiter.
  template <void (Impl::*method)(const ErrorCode&, std::size_t)>
  class Completion {
   public:
    explicit Completion(std::shared_ptr<Impl> impl)
        : impl(std::move(impl)), opening(this->impl->opening) {}
    Completion(Completion&&) noexcept = default;
    ~Completion() {
      if (this->impl) {
        this->impl->waiter.reset();
      }
    }
    void operator()(const ErrorCode& error, std::size_t bytes = 0) {
      const std::shared_ptr<Impl> self = std::move(this->impl);
      // An operation of a socket since closed and opened anew must not speak
      // for the new one, whose exchange it would fail.
      if (self->opening == this->opening) {
        ((*self).*method)(error, bytes);
      }
    }

   private:
    std::shared_ptr<Impl> impl;
    std::uint64_t opening;
  };

  void arm_timer(TimePoint when);
  void on_timer(const ErrorCode& error);
  void on_connect(const ErrorCode& error, std::size_t);
  [[nodiscard]] bool is_quiet();
  void start_send(const Request& request, const ExtraFields& extra);
  void on_sent(const ErrorCode& error, std::size_t bytes);
  void read();
  void on_read(const ErrorCode& error, std::size_t bytes);
  void on_bytes(std::size_t bytes);
  /// Counts the memory of the response. @return Whether the exchange goes on.
  [[nodiscard]] bool count_memory();
  void release_memory();
  void give_up_response() override;
  void on_response(bool bytes_left);
  /// Drops an answer to an earlier request. @return Whether the exchange goes
  /// on.
  [[nodiscard]] bool drop_late_response();
  void fail_exchange(ErrorKind kind, std::string message);
  void resume();

  /// An error whose execution says whether a byte was handed to the socket.
  [[nodiscard]] Error exchange_error(ErrorKind kind,
                                     std::string message) const {
    Error error = make_error(kind, std::move(message));
    error.execution = this->sent ? Execution::kUnknown : Execution::kNotRun;
    return error;
  }

  const std::string address;
  const std::uint16_t port;
  const ClientOptions options;
  std::string host_line;

  Phase phase = Phase::kClosed;
  std::uint64_t opening = 0;  ///< Counts the calls of `connect()`.
  std::optional<TcpSocket> socket;
  std::optional<Waiter> waiter;

  // The timer is left running when an exchange ends in time: it costs one wait
  // per deadline that passes, not one per exchange.
  std::optional<Timer> timer;
  TimePoint armed_for = TimePoint::max();
  TimePoint deadline = TimePoint::max();

  // The exchange going on.
  std::shared_ptr<const Request> request;
  std::string output;
  AnswerTest is_answer;
  bool sent = false;
  bool has_sent_head = false;  ///< Since the connection was opened.
  bool sending = false;  ///< Bytes of the request still wait for the socket.
  bool response_begun = false;
  std::size_t interim_bytes = 0;  ///< Of interim responses.
  std::size_t late_responses = 0;
  bool just_read = false;  ///< The socket was found empty a moment ago.
  std::optional<Error> failure;
  Response response;

  ResponseParser parser;
  std::vector<char> input;
  std::size_t filled = 0;
};

}  // namespace ibismux::http

#endif  // IBISMUX_HTTP_CLIENT_CONNECTION_IMPL_H_
