#include "ibismux/gateway/leaf_pool.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace ibismux::gateway {

namespace {

/// Cancels beyond this many are dropped: a leaf that takes them this slowly
/// stops the calls by their deadlines.
constexpr std::size_t kMostCancels = 1024;
/// With less than this, all connections carry calls.
constexpr std::size_t kLeastForControl = 2;

}  // namespace

LeafPool::LeafPool(boost::asio::io_context& loop,
                   std::shared_ptr<GatewayContext> context)
    : loop(loop),
      context(std::move(context)),
      timer(loop),
      reconnect(this->context->settings) {}

void LeafPool::configure(const release::BackendServer& fresh,
                         std::size_t share) {
  const bool moved =
      fresh.address != this->leaf.address || fresh.port != this->leaf.port;
  this->leaf = fresh;
  this->most = share;
  this->retired = share == 0;
  if (moved) {
    this->report();
    this->waiting.clear();
    this->last_failed = false;
  }
  this->trim();
  this->start_opening();
}

void LeafPool::want(std::size_t calls) {
  this->wanted = calls;
  this->start_opening();
}

LeafPool::Connection LeafPool::take() {
  while (!this->waiting.empty()) {
    Connection connection = std::move(this->waiting.back());
    this->waiting.pop_back();
    if (connection->usable()) {
      ++this->taken;
      return connection;
    }
    this->report();
    this->note_loss();
  }
  return nullptr;
}

void LeafPool::give(Connection connection) {
  --this->taken;
  const bool surplus = this->retired || this->connections() >= this->most;
  if (connection->usable() && !surplus) {
    this->waiting.push_back(std::move(connection));
    return;
  }
  connection->close();
  this->report();
  if (!surplus) {
    this->note_loss();
  }
  this->start_opening();
}

void LeafPool::cancel(const CallId& id) {
  if (!this->wants_control() || this->cancels.size() >= kMostCancels) {
    return;
  }
  this->cancels.push_back(id);
  if (this->control && !this->control_busy) {
    this->control_busy = true;
    boost::asio::co_spawn(this->loop,
                          this->send_cancels(this->shared_from_this()),
                          boost::asio::detached);
  } else {
    this->start_opening();
  }
}

void LeafPool::trim() {
  this->drop_unusable();
  const std::size_t target = std::min(this->wanted, this->most_calls());
  while (!this->waiting.empty() &&
         (this->waiting.size() + this->taken > target ||
          this->connections() > this->most)) {
    this->waiting.front()->close();
    this->waiting.erase(this->waiting.begin());
    this->report();
  }
  const bool needs_no_control =
      !this->wants_control() ||
      (this->taken + this->waiting.size() + this->opening == 0 && target == 0);
  if (this->control && !this->control_busy && needs_no_control) {
    this->control->close();
    this->control = nullptr;
    this->report();
  }
  this->start_opening();
}

void LeafPool::retire() {
  this->retired = true;
  this->wanted = 0;
  this->trim();
}

std::size_t LeafPool::connections() const noexcept {
  return this->waiting.size() + this->taken + this->opening +
         (this->control ? 1 : 0);
}

bool LeafPool::unreachable() const noexcept {
  return this->last_failed && this->waiting.empty() && this->taken == 0;
}

bool LeafPool::take_reopened() noexcept {
  return std::exchange(this->reopened, false);
}

std::size_t LeafPool::most_calls() const noexcept {
  return this->most - (this->wants_control() ? 1 : 0);
}

bool LeafPool::wants_control() const noexcept {
  return this->most >= kLeastForControl;
}

bool LeafPool::may_open() const noexcept {
  if (this->retired || this->connections() >= this->most) {
    return false;
  }
  const std::size_t calls = this->waiting.size() + this->taken + this->opening;
  return calls < std::min(this->wanted, this->most_calls()) ||
         (calls > 0 && this->wants_control() && !this->control);
}

void LeafPool::drop_unusable() {
  const std::size_t before = this->connections();
  std::erase_if(this->waiting, [](const Connection& connection) {
    return !connection->usable();
  });
  if (this->control && !this->control_busy && !this->control->usable()) {
    this->control = nullptr;
  }
  const std::size_t dropped = before - this->connections();
  this->report();
  if (dropped > 0) {
    this->note_loss();
  }
}

void LeafPool::note_loss() noexcept {
  this->all_lost = this->all_lost || (this->waiting.empty() &&
                                      this->taken == 0 && !this->control);
}

void LeafPool::report() {
  const std::size_t calls = this->waiting.size() + this->taken + this->opening;
  const std::size_t controls = this->control ? 1 : 0;
  this->context->metrics.connections_changed(
      static_cast<double>(calls) - static_cast<double>(this->reported_calls),
      static_cast<double>(controls) -
          static_cast<double>(this->reported_controls));
  this->reported_calls = calls;
  this->reported_controls = controls;
}

void LeafPool::start_opening() {
  if (this->opener_runs || !this->may_open()) {
    return;
  }
  this->opener_runs = true;
  boost::asio::co_spawn(this->loop, this->open_all(this->shared_from_this()),
                        boost::asio::detached);
}

Task<void> LeafPool::open_all(std::shared_ptr<LeafPool> /*self*/) {
  while (this->may_open()) {
    const TimePoint started = Clock::now();
    const bool for_control = this->wants_control() && !this->control &&
                             this->waiting.size() + this->taken > 0;
    const bool opened = co_await this->open_one(for_control);
    if (this->listener) {
      this->listener();
    }
    if (opened) {
      const Duration spent = Clock::now() - started;
      co_await this->pause(this->leaf.connect_cost - spent);
    } else {
      co_await this->pause(this->next_pause);
    }
  }
  this->opener_runs = false;
}

Task<bool> LeafPool::open_one(bool for_control) {
  ++this->opening;
  this->report();
  auto connection = std::make_shared<backend::LeafConnection>(
      this->leaf.address, this->leaf.port);
  const TimePoint deadline =
      Clock::now() + this->context->settings.connect_timeout;
  const Result<backend::LeafHealth> opened =
      co_await connection->open(deadline);
  --this->opening;
  this->context->metrics.connection_opened(opened.has_value());
  if (!opened || this->retired || this->connections() >= this->most) {
    this->report();
    connection->close();
    this->last_failed = !opened;
    this->next_pause = this->reconnect.failed(this->connections() == 0);
    co_return false;
  }
  this->last_failed = false;
  this->reconnect.opened();
  this->last_health = *opened;
  this->reopened = this->reopened || this->all_lost;
  this->all_lost = false;
  if (for_control) {
    this->control = std::move(connection);
    if (!this->cancels.empty()) {
      this->control_busy = true;
      boost::asio::co_spawn(this->loop,
                            this->send_cancels(this->shared_from_this()),
                            boost::asio::detached);
    }
  } else {
    this->waiting.push_back(std::move(connection));
  }
  co_return true;
}

Task<void> LeafPool::pause(Duration duration) {
  if (duration <= Duration::zero()) {
    co_return;
  }
  this->timer.expires_after(duration);
  co_await this->timer.async_wait(
      boost::asio::as_tuple(boost::asio::use_awaitable));
}

Task<void> LeafPool::send_cancels(std::shared_ptr<LeafPool> /*self*/) {
  const Connection connection = this->control;
  while (!this->cancels.empty() && connection->usable()) {
    const CallId id = this->cancels.front();
    this->cancels.pop_front();
    const TimePoint deadline =
        Clock::now() + this->context->settings.connect_timeout;
    this->context->metrics.cancel_sent();
    co_await connection->cancel(id, deadline);
  }
  this->control_busy = false;
  if (!connection->usable() && this->control == connection) {
    this->control = nullptr;
    this->report();
    this->start_opening();
  }
}

}  // namespace ibismux::gateway
