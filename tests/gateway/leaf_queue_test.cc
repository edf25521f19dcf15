#include "ibismux/gateway/leaf_queue.h"

#include <criterion/criterion.h>

namespace ibismux::gateway {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{};

QueuedCall call(std::uint64_t sequence, Priority priority, int deadline_ms) {
  QueuedCall call;
  call.id = {1, sequence};
  call.priority = priority;
  call.deadline = kStart + milliseconds(deadline_ms);
  return call;
}

LeafQueue::Offer offer(LeafQueue& queue,
                       QueuedCall call,
                       Duration pace = {},
                       Duration service = {}) {
  return queue.offer(call, kStart, pace, service);
}

}  // namespace

Test(leaf_queue, priority_goes_first_then_the_earlier_deadline) {
  LeafQueue queue(10);
  (void)offer(queue, call(1, Priority::kEditor, 10));
  (void)offer(queue, call(2, Priority::kBench, 90));
  (void)offer(queue, call(3, Priority::kBench, 50));
  (void)offer(queue, call(4, Priority::kDiagnostic, 100));
  cr_assert(queue.next_deadline() == kStart + milliseconds(10));
  for (const std::uint64_t expected : {4U, 3U, 2U, 1U}) {
    cr_assert(queue.pop()->id.sequence == expected);
  }
  cr_assert(!queue.pop());
}

Test(leaf_queue, full_queue_makes_room_for_higher_priority_only) {
  LeafQueue queue(2);
  (void)offer(queue, call(1, Priority::kCatalogue, 50));
  (void)offer(queue, call(2, Priority::kEditor, 50));
  cr_assert(offer(queue, call(3, Priority::kEditor, 50)).verdict ==
            LeafQueue::Verdict::kFull);
  const LeafQueue::Offer taken =
      offer(queue, call(4, Priority::kDiagnostic, 50));
  cr_assert(taken.verdict == LeafQueue::Verdict::kQueued);
  cr_assert(taken.evicted->id.sequence == 2);
  cr_assert(queue.size() == 2);
}

// Failure: callers wait out their whole deadline in a queue, for nothing.
Test(leaf_queue, hopeless_call_is_refused_at_once) {
  LeafQueue queue(10);
  (void)offer(queue, call(1, Priority::kBench, 100));
  (void)offer(queue, call(2, Priority::kBench, 100));
  const LeafQueue::Offer refused = offer(queue, call(3, Priority::kBench, 25),
                                         milliseconds(10), milliseconds(10));
  cr_assert(refused.verdict == LeafQueue::Verdict::kHopeless);
  cr_assert(refused.wait == milliseconds(20));
  // Those of lower priority do not count as ahead.
  cr_assert(offer(queue, call(4, Priority::kDiagnostic, 25), milliseconds(10),
                  milliseconds(10))
                .verdict == LeafQueue::Verdict::kQueued);
}

// Failure: editors wait a second to hear that their call was not run.
Test(leaf_queue, call_that_will_be_overtaken_is_refused_at_once) {
  LeafQueue queue(100);
  constexpr milliseconds kPace{10};
  TimePoint now = kStart;
  for (std::uint64_t i = 1; i <= 400; ++i) {
    QueuedCall urgent = call(i, Priority::kDiagnostic, 100'000);
    (void)queue.offer(urgent, now, kPace, kPace);
    (void)queue.pop();
    now += kPace;
  }
  QueuedCall first = call(1001, Priority::kEditor, 5000);
  cr_assert(queue.offer(first, now, kPace, kPace).verdict ==
            LeafQueue::Verdict::kQueued);
  QueuedCall second = call(1002, Priority::kEditor, 5000 - 600);
  cr_assert(queue.offer(second, now, kPace, kPace).verdict ==
            LeafQueue::Verdict::kHopeless);
  // With the urgent calls gone for a while, there is room again.
  QueuedCall later = call(1003, Priority::kEditor, 100'000);
  cr_assert(
      queue.offer(later, now + std::chrono::seconds(5), kPace, kPace).verdict ==
      LeafQueue::Verdict::kQueued);
}

Test(leaf_queue, expired_and_cancelled_calls_leave) {
  LeafQueue queue(10);
  (void)offer(queue, call(1, Priority::kBench, 10));
  (void)offer(queue, call(2, Priority::kEditor, 20));
  (void)offer(queue, call(3, Priority::kBench, 30));
  const auto expired = queue.take_expired(kStart + milliseconds(20));
  cr_assert(expired.size() == 2);
  cr_assert(queue.remove({1, 3})->id.sequence == 3);
  cr_assert(!queue.remove({1, 3}));
  cr_assert(queue.empty());
}

}  // namespace ibismux::gateway
