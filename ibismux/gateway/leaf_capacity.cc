#include "ibismux/gateway/leaf_capacity.h"

#include <algorithm>
#include <cmath>

#include "ibismux/concurrency/aimd_limit.h"

namespace ibismux::gateway {

namespace {

using backend::LeafSignal;
using std::chrono::milliseconds;

/// The part of the typical time that one call is taken to need at the least.
constexpr int kQuickPart = 4;
/// The least that a refused caller is told to wait.
constexpr milliseconds kLeastRetryAfter{50};

}  // namespace

LeafCapacity::LeafCapacity(const GatewaySettings& settings,
                           EjectionBudget& budget)
    : bound(std::make_unique<concurrency::AimdLimit>(
          1,
          settings.most_limit_per_slot)),
      health(settings, budget) {}

void LeafCapacity::declare(std::size_t slots, bool leaving) {
  this->bound->set_slots(slots);
  this->health.declare(leaving);
}

bool LeafCapacity::on_reply(const backend::LeafReply& reply,
                            Duration leaf_time,
                            std::size_t in_flight,
                            TimePoint now) {
  if (reply.signal == LeafSignal::kAnswered) {
    this->typical.add(leaf_time);
    this->bound->on_answer(leaf_time, in_flight, now);
  } else if (reply.signal == LeafSignal::kOverloaded) {
    this->bound->on_overload(now);
  } else if (reply.signal == LeafSignal::kWarming) {
    this->bound->on_cold();
  }
  const bool ejected = this->health.on_reply(reply, now);
  if (ejected) {
    this->bound->on_cold();
  }
  return ejected;
}

void LeafCapacity::on_restart(bool ready, TimePoint now) {
  this->bound->on_cold();
  this->health.on_restart(ready, now);
}

std::size_t LeafCapacity::most_running(TimePoint now) const noexcept {
  const double most =
      this->state(now) == LeafState::kWarming ? 1.0 : this->limit();
  return static_cast<std::size_t>(std::max(1.0, std::floor(most)));
}

Duration LeafCapacity::pace() const noexcept {
  return std::chrono::duration_cast<Duration>(this->typical.value() /
                                              std::max(1.0, this->limit()));
}

Duration LeafCapacity::service() const noexcept {
  return this->typical.value() / kQuickPart;
}

milliseconds LeafCapacity::retry_after(std::size_t queued) const noexcept {
  const auto wait = std::chrono::duration_cast<milliseconds>(
      this->typical.value() * static_cast<double>(queued) /
      std::max(1.0, this->limit()));
  return std::max(wait, kLeastRetryAfter);
}

}  // namespace ibismux::gateway
