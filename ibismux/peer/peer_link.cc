#include "ibismux/peer/peer_link.h"

#include <glog/logging.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <random>
#include <utility>

#include "ibismux/peer/peer_context.h"
#include "ibismux/peer/peer_dialer.h"

namespace ibismux::peer {

namespace {

/// Connections to one peer beyond this are cut: two come from crossing dials,
/// the rest from a peer that opened new ones instead of using those.
constexpr std::size_t kMostConnections = 4;

double jitter() {
  thread_local std::minstd_rand source{std::random_device{}()};
  return std::uniform_real_distribution<double>(0.0, 1.0)(source);
}

}  // namespace

PeerLink::PeerLink(std::string member,
                   boost::asio::io_context& loop,
                   std::shared_ptr<PeerContext> context)
    : member(std::move(member)),
      loop(loop),
      context(std::move(context)),
      last_used(Clock::now()),
      backoff(this->context->settings.first_backoff,
              this->context->settings.most_backoff) {}

bool PeerLink::notify(std::uint8_t kind, std::string_view payload) {
  std::lock_guard lock(this->mutex);
  const bool queued = this->enqueue(kind, FrameRole::kNotify, 0, payload);
  this->queued_notifies += queued ? 1 : 0;
  return queued;
}

bool PeerLink::unused() const {
  std::lock_guard lock(this->mutex);
  return this->phase == Phase::kIdle && this->pending.empty();
}

bool PeerLink::enqueue(std::uint8_t kind,
                       FrameRole role,
                       std::uint64_t correlation,
                       std::string_view payload) {
  const std::size_t waiting =
      this->outbox.size() + (this->preferred ? this->preferred->queued() : 0);
  if (this->phase == Phase::kStopped) {
    return false;
  }
  if (waiting + payload.size() > this->context->settings.most_queued_bytes) {
    this->context->metrics.queue_full();
    return false;
  }
  if (this->phase == Phase::kIdle) {
    if (!this->backoff.may_dial(Clock::now())) {
      return false;
    }
    this->start_dial();
  }
  append_frame(this->outbox, kind, role, correlation, payload);
  this->context->metrics.sent(kind, FrameHeader::kBytes + payload.size());
  if (this->phase == Phase::kUp) {
    this->schedule_flush();
  }
  return true;
}

void PeerLink::start_dial() {
  this->phase = Phase::kDialing;
  boost::asio::post(this->loop, [self = this->shared_from_this()] {
    boost::asio::co_spawn(self->loop, dial(self), boost::asio::detached);
  });
}

void PeerLink::schedule_flush() {
  if (!this->flush_scheduled) {
    this->flush_scheduled = true;
    boost::asio::post(this->loop,
                      [self = this->shared_from_this()] { self->flush(); });
  }
}

void PeerLink::flush() {
  std::string frames;
  std::shared_ptr<PeerConnection> connection;
  {
    std::lock_guard lock(this->mutex);
    this->flush_scheduled = false;
    if (!this->preferred || !this->preferred->usable()) {
      return;
    }
    connection = this->preferred;
    frames.swap(this->outbox);
    this->handed = this->last_correlation;
    this->queued_notifies = 0;
  }
  if (!frames.empty()) {
    this->last_used = Clock::now();
    connection->append(frames);
  }
}

Task<void> PeerLink::dial(std::shared_ptr<PeerLink> self) {
  Result<std::shared_ptr<PeerConnection>> connection =
      co_await dial_peer(self->member, self->loop, self->context);
  if (connection) {
    self->adopt(*connection);
  } else {
    self->dial_failed(connection.error());
  }
}

void PeerLink::dial_failed(const Error& error) {
  bool dropped = false;
  {
    std::lock_guard lock(this->mutex);
    this->backoff.failed(Clock::now(), jitter());
    if (this->phase != Phase::kDialing) {
      return;  // The peer's own connection came first.
    }
    this->phase = Phase::kIdle;
    this->outbox.clear();
    dropped = std::exchange(this->queued_notifies, 0) > 0;
  }
  this->abandon(false, error.message, Execution::kNotRun);
  if (dropped) {
    // Their senders were told that the frames were queued; without this they
    // would wait for answers until their deadlines.
    this->context->notify_lost({this->member, 0});
  }
}

void PeerLink::adopt(std::shared_ptr<PeerConnection> connection) {
  {
    std::lock_guard lock(this->mutex);
    if (this->phase == Phase::kStopped) {
      return;
    }
  }
  const auto stale = std::find_if(
      this->connections.begin(), this->connections.end(),
      [&](const auto& old) { return old->peer() != connection->peer(); });
  if (stale != this->connections.end()) {
    // The peer was restarted, and the end of its old connections has not
    // reached this host, for example since the host was swapped.
    this->cut("a new incarnation");
  }
  if (this->connections.size() >= kMostConnections) {
    const auto oldest = this->connections.front();
    this->connections.erase(this->connections.begin());
    oldest->say_goodbye();
  }
  this->connections.push_back(connection);
  this->last_used = Clock::now();
  {
    std::lock_guard lock(this->mutex);
    this->backoff.succeeded();
  }
  // In this order a connection that is counted as open is one that frames go
  // out on; else a frame sent in between would be dialled for.
  this->choose_connection();
  connection->start(this->weak_from_this());
}

void PeerLink::choose_connection() {
  // Both sides come to the same choice: the connection that the lower name
  // dialled; among equals the newest.
  const bool ours_first = this->context->self.member < this->member;
  std::shared_ptr<PeerConnection> best;
  for (const auto& connection : this->connections) {
    if (connection->usable() && (!best || connection->dialled() == ours_first ||
                                 best->dialled() != ours_first)) {
      best = connection;
    }
  }
  std::lock_guard lock(this->mutex);
  this->preferred = best;
  if (this->phase == Phase::kStopped) {
    return;
  }
  if (best) {
    this->phase = Phase::kUp;
    this->schedule_flush();
  } else if (this->phase == Phase::kUp) {
    this->phase = Phase::kIdle;
    if (!this->outbox.empty()) {
      this->start_dial();
    }
  }
}

void PeerLink::on_closed(std::shared_ptr<PeerConnection> connection,
                         bool graceful,
                         std::string reason) {
  if (std::erase(this->connections, connection) == 0) {
    return;  // One that was cut together with another.
  }
  if (graceful) {
    if (this->connections.empty()) {
      // A stop doesn't wait for responses; their requests must not either.
      this->abandon(true, reason, Execution::kUnknown);
    }
    this->choose_connection();
    return;
  }
  // Frames may be lost with any one connection. All go, so that a peer that is
  // reported lost is one that nothing more comes from, on any connection.
  const auto others = std::exchange(this->connections, {});
  for (const auto& other : others) {
    other->close(reason);
  }
  this->context->metrics.connection_lost();
  LOG(INFO) << "event=peer_lost peer=" << this->member << " reason=\"" << reason
            << "\"";
  this->abandon(true, reason, Execution::kUnknown);
  this->choose_connection();
  this->context->notify_lost(connection->peer());
}

void PeerLink::close_if_idle(TimePoint now) {
  this->return_goodbyes();
  if (now - this->last_used < this->context->settings.idle_timeout) {
    return;
  }
  {
    std::lock_guard lock(this->mutex);
    if (!this->pending.empty() || !this->outbox.empty()) {
      return;
    }
  }
  this->say_goodbye();
}

void PeerLink::say_goodbye() {
  const auto all = this->connections;
  for (const auto& connection : all) {
    connection->say_goodbye();
  }
  this->choose_connection();
}

void PeerLink::stop() {
  {
    std::lock_guard lock(this->mutex);
    this->phase = Phase::kStopped;
    this->outbox.clear();
  }
  const auto all = std::exchange(this->connections, {});
  for (const auto& connection : all) {
    connection->close("this daemon stops");
  }
  this->choose_connection();
  this->abandon(false, "this daemon stops", Execution::kUnknown);
}

void PeerLink::cut(const std::string& reason) {
  if (!this->connections.empty()) {
    this->connections.front()->close(reason);
  }
}

}  // namespace ibismux::peer
