#ifndef IBISMUX_HTTP_CLIENT_CONNECTION_H_
#define IBISMUX_HTTP_CLIENT_CONNECTION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "ibismux/base/error.h"
#include "ibismux/base/task.h"
#include "ibismux/base/time.h"
#include "ibismux/http/client_options.h"
#include "ibismux/http/message.h"

namespace ibismux::http {

/// One HTTP/1.1 connection to one server; one exchange at a time.
///
/// Belongs to the event loop it is used from; not thread safe.
class ClientConnection {
 public:
  using AnswerTest = std::function<bool(const Response&)>;

  ClientConnection(std::string address,
                   std::uint16_t port,
                   ClientOptions options = {});
  ~ClientConnection();
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  /// Opens the TCP connection. Precondition: not open.
  /// Fails with kLeafUnavailable and `Execution::kNotRun`, or with
  /// kDeadlineExceeded and `Execution::kNotRun`.
  [[nodiscard]] Task<Result<void>> connect(TimePoint deadline);

  /// Sends `request` and reads its response. Precondition: open, and no other
  /// exchange is going on.
  ///
  /// An error says `Execution::kNotRun` only where no byte was handed to the
  /// socket. After any error, and after a response that asks for it, the
  /// connection is closed and `usable()` is false.
  ///
  /// @param is_answer Tells an answer to this request from one to an earlier
  /// request that the server sends late; the latter is dropped, and the wait
  /// goes on, or fails with kLeafUnavailable where the late answer ends with
  /// the connection or a HEAD was sent on it. Called with a complete head,
  /// perhaps without the whole body. Empty: any response is the answer.
  /// @param extra What this server alone gets: the same request can go to many
  /// without a copy for each.
  [[nodiscard]] Task<Result<Response>> exchange(
      std::shared_ptr<const Request> request,
      TimePoint deadline,
      AnswerTest is_answer = nullptr,
      ExtraFields extra = {});

  /// Open, between exchanges, and with no stray byte from the server waiting.
  [[nodiscard]] bool usable() const noexcept;

  /// Closes at once; an exchange in progress ends with kCancelled.
  void close() noexcept;

 private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace ibismux::http

#endif  // IBISMUX_HTTP_CLIENT_CONNECTION_H_
