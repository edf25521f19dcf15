#include "ibismux/gateway/gateway_loop.h"

#include <unordered_set>
#include <utility>

#include "ibismux/gateway/call_group.h"
#include "ibismux/gateway/refusal.h"
#include "ibismux/http/await_timer.h"

namespace ibismux::gateway {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(200);

}  // namespace

GatewayLoop::GatewayLoop(boost::asio::io_context& loop,
                         std::shared_ptr<GatewayContext> context)
    : loop(loop),
      context(std::move(context)),
      calls(std::make_shared<CallIndex>()),
      timer(loop) {}

void GatewayLoop::apply(const std::vector<LeafShare>& shares) {
  std::unordered_set<std::string_view> kept;
  for (const LeafShare& share : shares) {
    kept.insert(share.leaf.name);
    this->channel(share.leaf.name)
        .configure(share.leaf, share.connections, share.keep_warm);
  }
  for (auto& [name, channel] : this->channels) {
    if (!kept.contains(name)) {
      channel->retire();
    }
  }
  if (!this->ticking) {
    this->ticking = true;
    this->arm_tick();
  }
}

void GatewayLoop::call(std::vector<LeafCallBatch::Item> items,
                       const std::shared_ptr<CallGroup>& group) {
  const LeafCallBatch& batch = group->batch();
  for (LeafCallBatch::Item& item : items) {
    const CallId id{batch.origin, item.sequence};
    const auto found = this->channels.find(item.leaf);
    if (found == this->channels.end()) {
      this->context->metrics.refused(RefuseReason::kNoShare);
      group->refuse(id, refusal(RefuseReason::kNoShare, item.leaf));
      continue;
    }
    found->second->submit(QueuedCall{id, batch.priority, batch.deadline,
                                     TimePoint(), std::move(item.shard),
                                     group});
  }
}

void GatewayLoop::cancel(const std::vector<CallId>& ids) {
  for (const CallId& id : ids) {
    const auto found = this->calls->find(id);
    if (found != this->calls->end()) {
      found->second->cancel(id);
    }
  }
}

std::vector<LeafStatus> GatewayLoop::status() const {
  const TimePoint now = Clock::now();
  std::vector<LeafStatus> all;
  for (const auto& [name, channel] : this->channels) {
    all.push_back(channel->status(now));
  }
  return all;
}

LeafChannel& GatewayLoop::channel(const std::string& name) {
  std::shared_ptr<LeafChannel>& slot = this->channels[name];
  if (!slot) {
    slot =
        std::make_shared<LeafChannel>(this->loop, this->context, this->calls);
  }
  return *slot;
}

void GatewayLoop::arm_tick() {
  this->timer.expires_after(kTick);
  http::await_timer(this->timer, this->weak_from_this(), &GatewayLoop::tick);
}

void GatewayLoop::tick() {
  const TimePoint now = Clock::now();
  for (auto it = this->channels.begin(); it != this->channels.end();) {
    LeafChannel& channel = *it->second;
    channel.tick(now);
    const bool gone = channel.retired_and_finished();
    it = gone ? this->channels.erase(it) : std::next(it);
  }
  this->arm_tick();
}

}  // namespace ibismux::gateway
