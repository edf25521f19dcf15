#ifndef IBISMUX_TESTS_GATEWAY_FAKE_LEAF_H_
#define IBISMUX_TESTS_GATEWAY_FAKE_LEAF_H_

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "ibismux/base/io_pool.h"
#include "ibismux/http/message.h"
#include "ibismux/http/server.h"
#include "ibismux/release/backend_server.h"

namespace ibismux::gateway::testing {

/// A leaf in this process that speaks docs/LEAFS.md. Held calls wait until they
/// are cancelled or released.
class FakeLeaf {
 public:
  /// What a leaf answers to a call, given the honest answer.
  using Twist = std::function<void(http::Response&)>;

  explicit FakeLeaf(http::ServerLimits limits = {})
      : pool(1), server(this->pool, limits, [this](auto request, auto) {
          return handle(this, std::move(request));
        }) {
    this->port = *this->server.listen("127.0.0.1", 0);
    this->pool.start();
  }

  ~FakeLeaf() {
    this->server.stop();
    this->pool.stop();
  }

  [[nodiscard]] release::BackendServer object(
      const std::string& name = "leaf") const {
    release::BackendServer leaf;
    leaf.name = name;
    leaf.address = "127.0.0.1";
    leaf.port = this->port;
    leaf.connect_cost = std::chrono::milliseconds(1);
    return leaf;
  }

  void twist(Twist fresh) {
    std::lock_guard lock(this->mutex);
    this->change = std::move(fresh);
  }

  /// Calls that come from now on wait; with false, those that wait go on.
  void hold(bool held) {
    std::lock_guard lock(this->mutex);
    this->holding = held;
    if (!held) {
      for (auto& [id, timer] : this->held_calls) {
        timer->cancel();
      }
    }
  }

  /// Cancel calls are answered from now on, and not heeded.
  void ignore_cancels() {
    std::lock_guard lock(this->mutex);
    this->ignoring = true;
  }

  [[nodiscard]] int count(const std::string& target) {
    std::lock_guard lock(this->mutex);
    return this->counts[target];
  }

  [[nodiscard]] std::size_t connections() const {
    return this->server.connections();
  }

 private:
  using Timer = std::shared_ptr<boost::asio::steady_timer>;

  static Task<http::Response> handle(
      FakeLeaf* self,
      std::shared_ptr<const http::Request> request) {
    http::Response response;
    const std::string id(request->field("X-Call-Id"));
    if (request->target == "/v1/health") {
      response.body = R"({"state":"ready","load":0.1,"slots":2})";
    } else if (request->target == "/v1/cancel") {
      self->cancel(id);
    } else {
      const bool cancelled = co_await wait_if_held(self, id);
      self->answer(*request, cancelled, response);
    }
    std::lock_guard lock(self->mutex);
    ++self->counts[request->target];
    co_return response;
  }

  static Task<bool> wait_if_held(FakeLeaf* self, std::string id) {
    Timer timer;
    {
      std::lock_guard lock(self->mutex);
      if (!self->holding) {
        co_return false;
      }
      timer = std::make_shared<boost::asio::steady_timer>(
          self->pool.at(0), boost::asio::steady_timer::time_point::max());
      self->held_calls[id] = timer;
      ++self->counts["held"];
    }
    co_await timer->async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
    std::lock_guard lock(self->mutex);
    self->held_calls.erase(id);
    co_return self->cancelled.contains(id);
  }

  void cancel(const std::string& id) {
    std::lock_guard lock(this->mutex);
    if (this->ignoring) {
      return;
    }
    this->cancelled[id] = true;
    const auto found = this->held_calls.find(id);
    if (found != this->held_calls.end()) {
      found->second->cancel();
    }
  }

  void answer(const http::Request& request,
              bool was_cancelled,
              http::Response& response) {
    response.status = was_cancelled ? 499 : 200;
    for (const char* name : {"X-Call-Id", "X-Snapshot", "X-Shard"}) {
      response.add(name, request.field(name));
    }
    response.body = request.body;
    std::lock_guard lock(this->mutex);
    if (this->change) {
      this->change(response);
    }
  }

  IoPool pool;
  std::mutex mutex;
  Twist change;
  bool holding = false;
  bool ignoring = false;
  std::map<std::string, Timer> held_calls;
  std::map<std::string, bool> cancelled;
  std::map<std::string, int> counts;
  http::Server server;
  std::uint16_t port = 0;
};

}  // namespace ibismux::gateway::testing

#endif  // IBISMUX_TESTS_GATEWAY_FAKE_LEAF_H_
