#include "ibismux/gateway/leaf_capacity.h"

#include <criterion/criterion.h>

namespace ibismux::gateway {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kSlots = 4;

backend::LeafReply reply_of(backend::LeafSignal signal) {
  backend::LeafReply reply;
  reply.signal = signal;
  return reply;
}

/// A leaf whose operator declared four slots.
struct Leaf {
  Leaf() : capacity(this->settings, this->budget) {
    this->capacity.declare(kSlots, false);
  }

  void answer(Duration time, std::size_t in_flight) {
    this->now += time;
    (void)this->capacity.on_reply(reply_of(backend::LeafSignal::kAnswered),
                                  time, in_flight, this->now);
  }

  GatewaySettings settings;
  EjectionBudget budget{0.2};
  LeafCapacity capacity;
  TimePoint now = TimePoint() + std::chrono::hours(1);
};

}  // namespace

Test(leaf_capacity, stragglers_and_few_calls_do_not_lower_the_limit) {
  Leaf leaf;
  for (int i = 0; i < 1000; ++i) {
    leaf.answer(milliseconds(i % 100 == 0 ? 300 : 10), 1 + i % 2);
  }
  cr_assert(leaf.capacity.limit() == kSlots);
  cr_assert(leaf.capacity.most_running(leaf.now) == kSlots);
}

Test(leaf_capacity, limit_rises_only_while_it_holds_calls_back) {
  Leaf leaf;
  for (int i = 0; i < 1000; ++i) {
    leaf.answer(milliseconds(10), kSlots + 2);
  }
  cr_assert(leaf.capacity.limit() ==
            kSlots * leaf.settings.most_limit_per_slot);
}

Test(leaf_capacity, expectations_follow_the_typical_time_and_the_limit) {
  Leaf leaf;
  leaf.answer(milliseconds(40), 1);
  cr_assert(leaf.capacity.pace() == milliseconds(10));
  cr_assert(leaf.capacity.service() == milliseconds(10));
  cr_assert(leaf.capacity.retry_after(20) == milliseconds(200));
  cr_assert(leaf.capacity.retry_after(0) == milliseconds(50));
}

}  // namespace ibismux::gateway
