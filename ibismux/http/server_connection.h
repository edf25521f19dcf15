#ifndef IBISMUX_HTTP_SERVER_CONNECTION_H_
#define IBISMUX_HTTP_SERVER_CONNECTION_H_

#include <array>
#include <cstddef>
#include <exception>
#include <memory>
#include <optional>
#include <string>

#include "ibismux/http/parser.h"
#include "ibismux/http/server_core.h"
#include "ibismux/http/socket.h"

namespace ibismux::http {

/// One client's connection: reads a request, runs the handler, writes the
/// answer, and again.
///
/// Belongs to its event loop; not thread safe. It reads while a handler runs,
/// so that it sees the client go. A client that ends its sending side counts as
/// gone: the two can't be told apart before a write fails. It is still sent
/// the handler's answer, in case it listens.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(TcpSocket socket,
                   std::shared_ptr<ServerCore> core,
                   std::weak_ptr<ServerLoop> loop);

  /// Begins to serve. Called once.
  void start();

  /// Closes the connection once it has been idle for a moment; a request that
  /// comes before, or is being handled, gets its answer first.
  void drain();

  /// Has the request answered or refused now; see `Server::cancel_requests()`.
  void cancel_request();

  /// Closes at once; the handler's token fires.
  void close();

 private:
  enum class Phase : unsigned char {
    kIdle,
    kReading,
    kHandling,
    kWriting,
    kLingering,  ///< Answered and shut for sending; drops what still comes.
    kClosed,
  };
  static constexpr std::size_t kPhases = 6;

  void await_request();
  void read();
  void on_read(const boost::system::error_code& error, std::size_t bytes);
  void on_end(const boost::system::error_code& error);
  void on_lingering(const boost::system::error_code& error, std::size_t bytes);
  void parse();
  void handle();
  void on_answer(const std::exception_ptr& thrown, Response response);
  void refuse(int status, ErrorKind kind, const std::string& message);
  void refuse_for_stop();
  void write(Response response, bool keep_alive);
  void on_written(const boost::system::error_code& error, bool keep_alive);
  void linger();
  void send_continue();
  /// Also counts the connection among those in `next`.
  void set_phase(Phase next);
  void count_in_flight();
  void set_deadline(Duration from_now);
  void arm_timer(TimePoint when);
  [[nodiscard]] Duration timer_period() const;
  void on_timer();
  void on_deadline();

  TcpSocket socket;
  const std::shared_ptr<ServerCore> core;
  const std::weak_ptr<ServerLoop> loop;
  const Counted counted;
  const std::string remote;
  bool had_request = false;

  Phase phase = Phase::kIdle;
  std::optional<Counted> phase_counted;
  bool reading = false;    ///< A read is pending.
  bool peer_done = false;  ///< The client sends no more.

  // The timer fires at least once in the shortest timeout and compares with
  // `deadline`, so that a new deadline needs no new wait.
  Timer timer;
  TimePoint deadline = TimePoint::max();

  std::array<char, 4096> chunk{};
  std::string input;  ///< Bytes not yet parsed.
  RequestParser parser;
  std::shared_ptr<Request> request;

  std::shared_ptr<CancelToken> token;
  std::optional<Counted> in_flight;
  std::string head;
  Response response;
  std::size_t dropped = 0;
};

}  // namespace ibismux::http

#endif  // IBISMUX_HTTP_SERVER_CONNECTION_H_
