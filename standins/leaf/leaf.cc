#include "standins/leaf/leaf.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/serialize.hpp>
#include <cmath>
#include <random>

#include "standins/leaf/leaf_connection.h"

namespace fake_leaf {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

Clock::duration millis(double value) {
  return std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double, std::milli>(value));
}

}  // namespace

Leaf::Leaf(std::string name,
           asio::io_context& loop,
           History& history,
           const std::string& address,
           std::uint64_t seed)
    : name(std::move(name)),
      loop(loop),
      history(history),
      acceptor(loop, tcp::endpoint(asio::ip::make_address(address), 0)),
      random(seed) {}

std::uint16_t Leaf::port() const {
  return this->acceptor.local_endpoint().port();
}

std::size_t Leaf::live_connections() const {
  // A connection that its client has closed may not have been noticed yet.
  return static_cast<std::size_t>(std::count_if(
      this->connections.begin(), this->connections.end(),
      [](const LeafConnection* one) { return one->client_there(); }));
}

asio::awaitable<void> Leaf::accept() {
  while (true) {
    auto [error, socket] = co_await this->acceptor.async_accept(kAwait);
    if (error) {
      continue;
    }
    ++this->stats.connections_opened;
    const auto most = static_cast<std::size_t>(this->config.connections);
    if (this->config.state == "down") {
      continue;
    }
    if (this->connections.size() >= most && this->live_connections() >= most) {
      ++this->stats.connections_refused;
      continue;
    }
    auto connection =
        std::make_shared<LeafConnection>(*this, std::move(socket));
    this->connections.insert(connection.get());
    this->stats.peak_connections = std::max<std::uint64_t>(
        this->stats.peak_connections, std::min(this->connections.size(), most));
    asio::co_spawn(this->loop, LeafConnection::run(std::move(connection)),
                   asio::detached);
  }
}

void Leaf::forget(LeafConnection* connection) {
  this->connections.erase(connection);
}

asio::awaitable<std::string> Leaf::apply(boost::json::object change) {
  bool cold = false;
  if (const boost::json::value* value = change.if_contains("cold")) {
    cold = value->is_bool() && value->as_bool();
    change.erase("cold");
  }
  const std::string before = this->config.state;
  if (auto problem = this->config.merge(change)) {
    co_return *problem;
  }
  if (cold) {
    this->cold_since = Clock::now();
  }
  const std::string& state = this->config.state;
  if (state != before && (state == "draining" || state == "leaving")) {
    this->history.add(boost::json::serialize(
        boost::json::object{{"type", "leaving"},
                            {"leaf", this->name},
                            {"at_us", to_micros(Clock::now())}}));
  }
  if (state == "down") {
    for (LeafConnection* connection : this->connections) {
      connection->close();
    }
  }
  co_return std::string();
}

asio::awaitable<boost::json::object> Leaf::report() {
  const LeafStats& stats = this->stats;
  co_return boost::json::object{
      {"calls", stats.calls},
      {"runs", stats.runs},
      {"refusals", stats.refusals},
      {"cancels", stats.cancels},
      {"deadlines", stats.deadlines},
      {"cut", stats.cut},
      {"connections", this->connections.size()},
      {"connections_opened", stats.connections_opened},
      {"connections_refused", stats.connections_refused},
      {"peak_connections", stats.peak_connections},
      {"peak_running", stats.peak_running},
      {"peak_queue", stats.peak_queue},
      {"running", this->running},
      {"queue", this->waiting.size()}};
}

bool Leaf::holds(std::string_view snapshot) const {
  const auto& held = this->config.snapshots;
  return held.empty() ||
         std::find(held.begin(), held.end(), snapshot) != held.end();
}

bool Leaf::chance(double share) {
  return share > 0 &&
         std::uniform_real_distribution<>(0, 1)(this->random) < share;
}

Clock::duration Leaf::service_time() {
  const LeafConfig& config = this->config;
  double time = config.service_ms;
  if (config.distribution == "exponential") {
    time = std::exponential_distribution<>(1 / time)(this->random);
  } else if (config.distribution == "lognormal") {
    const double mu = std::log(time) - config.sigma * config.sigma / 2;
    time = std::lognormal_distribution<>(mu, config.sigma)(this->random);
  }
  if (this->chance(config.straggle_share)) {
    time *= config.straggle_factor;
  }
  const std::chrono::duration<double, std::milli> age =
      Clock::now() - this->cold_since;
  if (age.count() < config.cold_ms) {
    time *= 1 + (config.cold_factor - 1) * (1 - age.count() / config.cold_ms);
  }
  return millis(time);
}

std::string Leaf::health() {
  const Clock::time_point now = Clock::now();
  if (!this->health_seen.empty() &&
      now - this->health_seen_at < millis(this->config.health_lag_ms)) {
    return this->health_seen;
  }
  const LeafConfig& config = this->config;
  std::string state = config.state == "leaving" ? "draining" : config.state;
  if (!config.health_state.empty()) {
    state = config.health_state;
  }
  double load = static_cast<double>(this->running + this->waiting.size()) /
                std::max(1.0, config.slots);
  if (config.health_load >= 0) {
    load = config.health_load;
  }
  this->health_seen = boost::json::serialize(boost::json::object{
      {"state", state}, {"load", load}, {"slots", config.slots}});
  this->health_seen_at = now;
  return this->health_seen;
}

asio::awaitable<bool> Leaf::enter(Call& call) {
  if (static_cast<double>(this->running) < this->config.slots) {
    call.granted = true;
  } else {
    if (static_cast<double>(this->waiting.size()) >= this->config.queue) {
      co_return false;
    }
    this->waiting.push_back(&call);
    this->stats.peak_queue =
        std::max<std::uint64_t>(this->stats.peak_queue, this->waiting.size());
    call.timer->expires_at(this->config.ignore_deadline
                               ? Clock::time_point::max()
                               : call.deadline);
    co_await call.timer->async_wait(kAwait);
    if (!call.granted) {
      std::erase(this->waiting, &call);
      co_return true;
    }
    --this->running;  // Counted by leave(), which handed the slot over.
  }
  ++this->running;
  this->stats.peak_running =
      std::max<std::uint64_t>(this->stats.peak_running, this->running);
  call.begin = Clock::now();
  co_return true;
}

void Leaf::leave(Call& call) {
  call.granted = false;
  --this->running;
  while (!this->waiting.empty() &&
         static_cast<double>(this->running) < this->config.slots) {
    Call* next = this->waiting.front();
    this->waiting.pop_front();
    next->granted = true;
    ++this->running;
    next->timer->cancel();
  }
}

void Leaf::begin_call(Call& call) {
  this->calls[call.id] = &call;
}

void Leaf::end_call(Call& call) {
  const auto found = this->calls.find(call.id);
  if (found != this->calls.end() && found->second == &call) {
    this->calls.erase(found);
  }
}

void Leaf::cancel(const std::string& id) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end() || this->config.ignore_cancel) {
    return;
  }
  Call& call = *found->second;
  // A reservation that has begun is carried out to its end.
  if (call.cancelled || (call.reserve && call.granted)) {
    return;
  }
  call.cancelled = true;
  ++this->stats.cancels;
  call.timer->cancel();
}

void Leaf::record(const Call& call, std::string_view done) {
  ++this->stats.runs;
  if (done == "cut") {
    ++this->stats.cut;
  }
  if (!this->history.enabled()) {
    return;
  }
  this->history.add(boost::json::serialize(
      boost::json::object{{"type", "run"},
                          {"leaf", this->name},
                          {"kind", call.reserve ? "reserve" : "query"},
                          {"call_id", call.id},
                          {"shard", call.shard},
                          {"snapshot", call.snapshot},
                          {"key", call.key},
                          {"body_hash", call.body_hash},
                          {"begin_us", to_micros(call.begin)},
                          {"end_us", to_micros(Clock::now())},
                          {"done", done}}));
}

}  // namespace fake_leaf
