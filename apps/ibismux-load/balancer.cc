#include "apps/ibismux-load/balancer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace ibismux::load {

namespace {

constexpr auto kCheckInterval = std::chrono::milliseconds(100);
constexpr auto kCheckTimeout = std::chrono::milliseconds(500);
constexpr int kOk = 200;

}  // namespace

Balancer::Balancer(std::vector<DaemonAddress> addresses,
                   bool random_order,
                   std::uint64_t seed)
    : random_order(random_order), random(seed), turn(seed) {
  for (DaemonAddress& address : addresses) {
    this->daemons.emplace_back().address = std::move(address);
  }
}

std::size_t Balancer::pick() {
  const std::size_t count = this->daemons.size();
  const std::size_t first = this->random_order ? this->random() : this->turn++;
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t index = (first + i) % count;
    if (this->daemons[index].ready) {
      return index;
    }
  }
  return first % count;
}

std::unique_ptr<http::ClientConnection> Balancer::take_idle(Daemon& daemon) {
  while (!daemon.idle.empty()) {
    std::unique_ptr<http::ClientConnection> last =
        std::move(daemon.idle.back());
    daemon.idle.pop_back();
    if (last->usable()) {
      return last;
    }
  }
  return nullptr;
}

Task<Result<http::Response>> Balancer::send_to(
    std::size_t index,
    std::shared_ptr<const http::Request> request,
    TimePoint deadline) {
  Daemon& daemon = this->daemons[index];
  std::unique_ptr<http::ClientConnection> connection = this->take_idle(daemon);
  if (!connection) {
    connection = std::make_unique<http::ClientConnection>(
        daemon.address.address, daemon.address.port);
    Result<void> connected = co_await connection->connect(deadline);
    if (!connected) {
      co_return tl::unexpected(std::move(connected.error()));
    }
  }
  Result<http::Response> response =
      co_await connection->exchange(std::move(request), deadline);
  if (connection->usable()) {
    daemon.idle.push_back(std::move(connection));
  }
  co_return response;
}

Task<Result<http::Response>> Balancer::send(http::Request request,
                                            TimePoint deadline) {
  const auto shared = std::make_shared<const http::Request>(std::move(request));
  Result<http::Response> response = fail(ErrorKind::kLeafUnavailable, "");
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    const std::size_t index = this->pick();
    response = co_await this->send_to(index, shared, deadline);
    if (response || response.error().execution != Execution::kNotRun ||
        Clock::now() >= deadline) {
      break;
    }
  }
  co_return response;
}

Task<> Balancer::check(Daemon& daemon) {
  http::ClientConnection connection(daemon.address.address,
                                    daemon.address.ready_port);
  const TimePoint deadline = Clock::now() + kCheckTimeout;
  Result<void> connected = co_await connection.connect(deadline);
  if (!connected) {
    daemon.ready = false;
    co_return;
  }
  auto request = std::make_shared<http::Request>();
  request->target = "/readyz";
  Result<http::Response> response =
      co_await connection.exchange(std::move(request), deadline);
  daemon.ready = response && response->status == kOk;
}

Task<> Balancer::watch_readiness(TimePoint end) {
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
  while (Clock::now() < end) {
    for (Daemon& daemon : this->daemons) {
      if (daemon.address.ready_port != 0) {
        co_await this->check(daemon);
      }
    }
    timer.expires_after(kCheckInterval);
    co_await timer.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
  }
}

}  // namespace ibismux::load
