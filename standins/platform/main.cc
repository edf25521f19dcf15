/// ibismux-fake-platform: a stand-in for the platform's object API and host
/// list, as docs/PLATFORM.md has them.
///
///     ibismux-fake-platform --port 0
///     curl -X PUT -d '{"outage":true}' http://127.0.0.1:PORT/fake/faults
///
/// Prints one line {"port":N} when ready; ends on SIGTERM.

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>

#include "standins/command_line.h"
#include "standins/platform/connection.h"
#include "standins/platform/service.h"

namespace {

namespace asio = boost::asio;
namespace options = boost::program_options;
using asio::ip::tcp;

struct Arguments {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  std::size_t history = 100'000;
  std::uint64_t reads_per_second = 2000;
  std::uint64_t writes_per_second = 500;
  std::uint64_t host_lag_ms = 0;
  std::uint64_t seed = 1;
};

/// @return The exit status where the program shall end now.
std::optional<int> parse(int argc, char** argv, Arguments& arguments) {
  options::options_description list("ibismux-fake-platform");
  list.add_options()("address", options::value(&arguments.address),
                     "IP number to listen on")(
      "port", options::value(&arguments.port), "0: one of the system's")(
      "history", options::value(&arguments.history),
      "how many writes a watch can go back")(
      "reads-per-second", options::value(&arguments.reads_per_second),
      "cap; waiting watches count; 0: none")(
      "writes-per-second", options::value(&arguments.writes_per_second),
      "cap; 0: none")("host-lag-ms", options::value(&arguments.host_lag_ms),
                      "how late the host list is")(
      "seed", options::value(&arguments.seed), "of the faults' randomness");
  return standins::parse_command_line(argc, argv, list);
}

/// Shares its port with whoever holds it meanwhile: a test does, so that no
/// other program is dialled there when this one is gone.
tcp::acceptor listen(asio::io_context& loop, const tcp::endpoint& where) {
  using ReusePort =
      asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
  tcp::acceptor acceptor(loop, where.protocol());
  acceptor.set_option(tcp::acceptor::reuse_address(true));
  acceptor.set_option(ReusePort(true));
  acceptor.bind(where);
  acceptor.listen();
  return acceptor;
}

asio::awaitable<void> accept_all(tcp::acceptor& acceptor,
                                 fake_platform::Service& service) {
  for (;;) {
    auto [error, socket] =
        co_await acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
    if (!error) {
      asio::co_spawn(
          acceptor.get_executor(),
          fake_platform::serve_connection(std::move(socket), service),
          asio::detached);
    } else if (error == asio::error::operation_aborted) {
      co_return;
    }
  }
}

int run(const Arguments& arguments) {
  asio::io_context loop(1);
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(arguments.address, error);
  if (error) {
    std::cerr << "not an IP number: " << arguments.address << "\n";
    return 2;
  }
  fake_platform::Faults faults;
  faults.host_lag = std::chrono::milliseconds(arguments.host_lag_ms);
  fake_platform::Service service(
      loop, fake_platform::Store(arguments.history),
      fake_platform::Stats(arguments.reads_per_second,
                           arguments.writes_per_second),
      faults, arguments.seed);
  tcp::acceptor acceptor = listen(loop, {ip, arguments.port});
  asio::co_spawn(loop, accept_all(acceptor, service), asio::detached);
  asio::signal_set signals(loop, SIGTERM, SIGINT);
  signals.async_wait([&loop](auto, int) { loop.stop(); });
  std::cout << "{\"port\":" << acceptor.local_endpoint().port() << "}"
            << std::endl;
  loop.run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  Arguments arguments;
  if (const auto status = parse(argc, argv, arguments)) {
    return *status;
  }
  try {
    return run(arguments);
  } catch (const std::exception& problem) {
    std::cerr << problem.what() << "\n";
    return 1;
  }
}
