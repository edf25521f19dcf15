/// bench-http: processor time of one exchange of `http::ClientConnection`
/// beside bare Beast clients, which do the same against the same server.
///
///     bench-http --connections 16 --exchanges 20000 --rounds 5
///
/// Prints one JSON line for each client: microseconds of the client's thread
/// per exchange, the median of the rounds. The rounds of the clients take
/// turns, so that a busy host slows them alike.

#include <sys/resource.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/program_options.hpp>
#include <cstdint>
#include <iostream>
#include <memory>
#include <vector>

#include "ibismux/base/io_pool.h"
#include "ibismux/http/client_connection.h"
#include "ibismux/http/server.h"

namespace {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
namespace options = boost::program_options;
using asio::ip::tcp;
using namespace ibismux;

constexpr std::chrono::seconds kDeadline{30};

/// The shape of a call to a leaf: fields and sizes.
const std::vector<std::pair<std::string, std::string>> kRequestFields = {
    {"X-Call-Id", "0123456789abcdef0123456789abcdef"},
    {"X-Snapshot", "catalogue-2026-12-02"},
    {"X-Shard", "catalogue-017"},
    {"X-Deadline-Ms", "187"},
    {"X-Priority", "catalogue"}};
const std::string kRequestBody(120, 'q');
const std::string kResponseBody(600, 'r');

struct Load {
  std::uint16_t port = 0;
  std::size_t connections = 0;
  std::size_t exchanges = 0;  ///< Per connection.
};

Task<http::Response> answer(std::shared_ptr<const http::Request> request,
                            std::shared_ptr<http::CancelToken>) {
  http::Response response;
  for (const char* name : {"X-Call-Id", "X-Snapshot", "X-Shard"}) {
    response.add(name, request->field(name));
  }
  response.body = kResponseBody;
  co_return response;
}

http::Request our_request() {
  http::Request request;
  request.method = "POST";
  request.target = "/v1/query";
  for (const auto& [name, value] : kRequestFields) {
    request.add(name, value);
  }
  request.body = kRequestBody;
  return request;
}

beast_http::request<beast_http::string_body> beast_request() {
  beast_http::request<beast_http::string_body> request{beast_http::verb::post,
                                                       "/v1/query", 11};
  request.set(beast_http::field::host, "127.0.0.1");
  for (const auto& [name, value] : kRequestFields) {
    request.set(name, value);
  }
  request.body() = kRequestBody;
  request.prepare_payload();
  return request;
}

void check(bool good) {
  if (!good) {
    std::cerr << "an exchange failed\n";
    std::exit(1);
  }
}

Task<> drive_ours(Load load) {
  http::ClientConnection client("127.0.0.1", load.port);
  const auto connected = co_await client.connect(Clock::now() + kDeadline);
  check(connected.has_value());
  for (std::size_t i = 0; i < load.exchanges; ++i) {
    const auto request = std::make_shared<const http::Request>(our_request());
    const auto response =
        co_await client.exchange(request, Clock::now() + kDeadline);
    check(response && response->body.size() == kResponseBody.size());
  }
}

Task<> drive_beast(Load load) {
  tcp::socket socket(co_await asio::this_coro::executor);
  co_await socket.async_connect({asio::ip::address_v4::loopback(), load.port},
                                asio::use_awaitable);
  socket.set_option(tcp::no_delay(true));
  boost::beast::flat_buffer buffer;
  for (std::size_t i = 0; i < load.exchanges; ++i) {
    const auto request = beast_request();
    co_await beast_http::async_write(socket, request, asio::use_awaitable);
    beast_http::response<beast_http::string_body> response;
    co_await beast_http::async_read(socket, buffer, response,
                                    asio::use_awaitable);
    check(response.body().size() == kResponseBody.size());
  }
}

void drive_beast_blocking(const Load& load) {
  asio::io_context context;
  tcp::socket socket(context);
  socket.connect({asio::ip::address_v4::loopback(), load.port});
  socket.set_option(tcp::no_delay(true));
  boost::beast::flat_buffer buffer;
  for (std::size_t i = 0; i < load.exchanges * load.connections; ++i) {
    const auto request = beast_request();
    beast_http::write(socket, request);
    beast_http::response<beast_http::string_body> response;
    beast_http::read(socket, buffer, response);
    check(response.body().size() == kResponseBody.size());
  }
}

template <Task<> (*drive)(Load)>
void run_loop(const Load& load) {
  asio::io_context context(1);
  for (std::size_t i = 0; i < load.connections; ++i) {
    asio::co_spawn(context, drive(load), [](const std::exception_ptr& thrown) {
      check(thrown == nullptr);
    });
  }
  context.run();
}

struct Client {
  const char* name;
  void (*run)(const Load&);
};

constexpr Client kClients[] = {{"ibismux", run_loop<drive_ours>},
                               {"beast_async", run_loop<drive_beast>},
                               {"beast_blocking", drive_beast_blocking}};

double thread_micros() {
  rusage usage{};
  getrusage(RUSAGE_THREAD, &usage);
  const auto micros = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) * 1e6 +
           static_cast<double>(time.tv_usec);
  };
  return micros(usage.ru_utime) + micros(usage.ru_stime);
}

double micros_per_exchange(const Client& client, const Load& load) {
  const double before = thread_micros();
  client.run(load);
  return (thread_micros() - before) /
         static_cast<double>(load.exchanges * load.connections);
}

/// @param only The name of the one client to run; empty: all.
void run_rounds(const Load& load, std::size_t rounds, const std::string& only) {
  std::vector<double> micros[std::size(kClients)];
  for (std::size_t round = 0; round < rounds; ++round) {
    for (std::size_t i = 0; i < std::size(kClients); ++i) {
      if (only.empty() || only == kClients[i].name) {
        micros[i].push_back(micros_per_exchange(kClients[i], load));
      }
    }
  }
  for (std::size_t i = 0; i < std::size(kClients); ++i) {
    if (micros[i].empty()) {
      continue;
    }
    std::sort(micros[i].begin(), micros[i].end());
    std::cout << boost::json::serialize(boost::json::object{
                     {"client", kClients[i].name},
                     {"connections", load.connections},
                     {"exchanges", load.exchanges * load.connections},
                     {"rounds", rounds},
                     {"micros_median", micros[i][rounds / 2]},
                     {"micros_least", micros[i].front()},
                     {"micros_most", micros[i].back()}})
              << '\n';
  }
}

}  // namespace

int main(int argc, char** argv) {
  Load load;
  std::size_t rounds = 0;
  std::string only;
  options::options_description known("bench-http");
  known.add_options()("help", "print this")(
      "connections", options::value(&load.connections)->default_value(16))(
      "exchanges", options::value(&load.exchanges)->default_value(2000),
      "for each connection")("rounds",
                             options::value(&rounds)->default_value(5))(
      "client", options::value(&only),
      "only this one: ibismux, beast_async, beast_blocking");
  options::variables_map values;
  options::store(options::parse_command_line(argc, argv, known), values);
  options::notify(values);
  if (values.count("help") > 0 || rounds == 0) {
    std::cout << known;
    return 0;
  }
  IoPool pool(1);
  http::Server server(pool, {}, answer);
  load.port = server.listen("127.0.0.1", 0).value();
  pool.start();
  run_rounds(load, rounds, only);
  server.stop();
  pool.stop();
}
