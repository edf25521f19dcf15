/// bench-bare-client: the least that a query over many leafs can cost. Plain
/// Beast connections, one call to each leaf a query, nothing decided, nothing
/// merged. The yardstick of the experiment `cost`.
///
///     bench-bare-client --ports 4001,4002 --rate 100 --seconds 5
///
/// Prints one JSON line: queries, leaf calls, processor time per leaf call.

#include <sys/resource.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/program_options.hpp>
#include <chrono>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <vector>

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace options = boost::program_options;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

struct Connection {
  explicit Connection(asio::io_context& loop) : socket(loop) {}
  tcp::socket socket;
  boost::beast::flat_buffer buffer;
};

/// The idle connections to one leaf.
struct Target {
  tcp::endpoint endpoint;
  std::vector<std::unique_ptr<Connection>> idle;
};

struct Totals {
  std::uint64_t queries = 0;
  std::uint64_t calls = 0;
  std::uint64_t failures = 0;
  std::uint64_t connections = 0;
  std::vector<double> latencies_ms;
};

struct Query {
  std::size_t open = 0;
  Clock::time_point begin;
};

double cpu_seconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

/// Resident memory; /proc/self/statm counts pages.
double resident_kb() {
  std::ifstream file("/proc/self/statm");
  double size = 0;
  double resident = 0;
  file >> size >> resident;
  constexpr double kPageKb = 4;
  return resident * kPageKb;
}

class BareClient {
 public:
  BareClient(asio::io_context& loop, std::vector<Target> targets)
      : loop(loop), targets(std::move(targets)) {}

  /// Opens `each` connections to every target.
  asio::awaitable<void> open(std::size_t each) {
    for (Target& target : this->targets) {
      for (std::size_t i = 0; i < each; ++i) {
        auto connection = std::make_unique<Connection>(this->loop);
        co_await this->connect(*connection, target);
        target.idle.push_back(std::move(connection));
      }
    }
  }

  /// Starts `rate` queries a second, evenly spaced, for `seconds`.
  asio::awaitable<void> run(double rate, double seconds) {
    asio::steady_timer timer(this->loop);
    const Clock::time_point begin = Clock::now();
    const auto count = static_cast<std::size_t>(rate * seconds);
    for (std::size_t i = 0; i < count; ++i) {
      timer.expires_at(begin + std::chrono::duration_cast<Clock::duration>(
                                   std::chrono::duration<double>(
                                       static_cast<double>(i) / rate)));
      co_await timer.async_wait(kAwait);
      this->start_query();
    }
    while (this->in_flight > 0) {
      timer.expires_after(std::chrono::milliseconds(1));
      co_await timer.async_wait(kAwait);
    }
  }

  Totals totals;

 private:
  void start_query() {
    auto query = std::make_shared<Query>();
    query->open = this->targets.size();
    query->begin = Clock::now();
    ++this->in_flight;
    for (Target& target : this->targets) {
      asio::co_spawn(this->loop, this->call(target, query), asio::detached);
    }
  }

  asio::awaitable<void> connect(Connection& connection, Target& target) {
    co_await connection.socket.async_connect(target.endpoint, kAwait);
    boost::system::error_code ignored;
    connection.socket.set_option(tcp::no_delay(true), ignored);
    ++this->totals.connections;
  }

  asio::awaitable<void> call(Target& target, std::shared_ptr<Query> query) {
    std::unique_ptr<Connection> connection;
    if (target.idle.empty()) {
      connection = std::make_unique<Connection>(this->loop);
      co_await this->connect(*connection, target);
    } else {
      connection = std::move(target.idle.back());
      target.idle.pop_back();
    }
    const bool good = co_await this->exchange(*connection);
    ++this->totals.calls;
    if (good) {
      target.idle.push_back(std::move(connection));
    } else {
      ++this->totals.failures;
    }
    if (--query->open == 0) {
      ++this->totals.queries;
      --this->in_flight;
      const std::chrono::duration<double, std::milli> took =
          Clock::now() - query->begin;
      this->totals.latencies_ms.push_back(took.count());
    }
  }

  asio::awaitable<bool> exchange(Connection& connection) {
    http::request<http::string_body> request(http::verb::post, "/v1/query", 11);
    request.set(http::field::host, "leaf");
    request.set("X-Call-Id", "00000000000000000000000000000001");
    request.set("X-Snapshot", "snapshot-1");
    request.set("X-Shard", "shard-1");
    request.set("X-Deadline-Ms", "1000");
    request.set("X-Priority", "diagnostic");
    request.body() = R"({"query":"torque of the head bolts"})";
    request.prepare_payload();
    co_await http::async_write(connection.socket, request, kAwait);
    http::response<http::string_body> response;
    auto [error, size] = co_await http::async_read(
        connection.socket, connection.buffer, response, kAwait);
    co_return !error && response.result() == http::status::ok;
  }

  asio::io_context& loop;
  std::vector<Target> targets;
  std::size_t in_flight = 0;
};

std::vector<Target> targets_of(const std::string& ports) {
  std::vector<Target> targets;
  std::istringstream list(ports);
  std::string port;
  while (std::getline(list, port, ',')) {
    targets.push_back(
        {tcp::endpoint(asio::ip::address_v4::loopback(),
                       static_cast<std::uint16_t>(std::stoul(port))),
         {}});
  }
  return targets;
}

double quantile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(
      share * static_cast<double>(values.size() - 1))];
}

}  // namespace

int main(int argc, char** argv) {
  std::string ports;
  double rate = 100;
  double seconds = 5;
  std::size_t open = 4;
  options::options_description list("bench-bare-client");
  list.add_options()("help", "print this")(
      "ports", options::value(&ports)->required(), "of the leafs, by commas")(
      "rate", options::value(&rate), "queries a second")(
      "seconds", options::value(&seconds), "how long")(
      "open", options::value(&open), "connections opened to each leaf first");
  options::variables_map values;
  options::store(options::parse_command_line(argc, argv, list), values);
  if (values.count("help") > 0) {
    std::cout << list;
    return 0;
  }
  options::notify(values);

  asio::io_context loop(1);
  BareClient client(loop, targets_of(ports));
  const double memory_before = resident_kb();
  asio::co_spawn(loop, client.open(open), asio::detached);
  loop.run();
  loop.restart();
  const double memory_open = resident_kb();
  const auto opened = static_cast<double>(client.totals.connections);
  const double before = cpu_seconds();
  asio::co_spawn(loop, client.run(rate, seconds), asio::detached);
  loop.run();
  const double used_us = (cpu_seconds() - before) * 1e6;
  const Totals& totals = client.totals;
  const double calls = std::max(1.0, static_cast<double>(totals.calls));
  const double queries = std::max(1.0, static_cast<double>(totals.queries));
  std::cout << boost::json::serialize(boost::json::object{
                   {"queries", totals.queries},
                   {"leaf_calls", totals.calls},
                   {"failures", totals.failures},
                   {"connections", totals.connections},
                   {"cpu_us_per_leaf_call", used_us / calls},
                   {"cpu_us_per_query", used_us / queries},
                   {"kb_per_connection",
                    (memory_open - memory_before) / std::max(1.0, opened)},
                   {"p50_ms", quantile(totals.latencies_ms, 0.5)},
                   {"p99_ms", quantile(totals.latencies_ms, 0.99)}})
            << std::endl;
  return 0;
}
