#include "ibismux/dispatch/call_queue.h"

#include <criterion/criterion.h>

#include <string>

namespace ibismux::dispatch {
namespace {

using std::chrono::seconds;

struct Fixture {
  CallQueue queue;
  TimePoint now = Clock::now();
  std::string started;
  int room = 0;
  fairness::Share share;

  /// Adds a call that uses one unit of capacity when it starts.
  CallQueue::Position enqueue(std::uint32_t priority, char name) {
    return this->queue.enqueue(
        priority, this->share,
        [this, name] {
          this->started += name;
          --this->room;
          return true;
        },
        this->now);
  }

  void start_waiting(int room) {
    this->room = room;
    this->queue.start_waiting([this] { return this->room > 0; });
  }
};

/// A call that can't be started with the available capacity.
CallQueue::Start unstartable(int& tries) {
  return [&tries] {
    ++tries;
    return false;
  };
}

Test(call_queue, orders_by_priority_and_then_by_arrival) {
  Fixture fixture;
  fixture.enqueue(2, 'c');
  fixture.enqueue(1, 'a');
  fixture.enqueue(2, 'd');
  fixture.enqueue(1, 'b');
  fixture.start_waiting(3);
  cr_assert(fixture.started == "abc");
  fixture.start_waiting(3);
  cr_assert(fixture.started == "abcd");
}

Test(call_queue, a_removed_call_is_not_started) {
  Fixture fixture;
  const CallQueue::Position first = fixture.enqueue(1, 'a');
  fixture.enqueue(1, 'b');
  fixture.queue.remove(first);
  fixture.queue.remove(first);
  fixture.start_waiting(2);
  cr_assert(fixture.started == "b");
}

Test(call_queue, counts_the_calls_ahead) {
  Fixture fixture;
  fixture.enqueue(1, 'a');
  fixture.enqueue(2, 'b');
  fixture.enqueue(3, 'c');
  cr_assert(fixture.queue.count_ahead(0, {}) == 0);
  cr_assert(fixture.queue.count_ahead(1, {}) == 1);
  cr_assert(fixture.queue.count_ahead(2, {}) == 2);
  cr_assert(fixture.queue.count_ahead(9, {}) == 3);
}

Test(call_queue, is_nonempty_from_the_first_call_to_the_last) {
  Fixture fixture;
  cr_assert(fixture.queue.nonempty_for(fixture.now) == Duration::zero());
  const CallQueue::Position first = fixture.enqueue(1, 'a');
  fixture.now += seconds(1);
  fixture.enqueue(1, 'b');
  fixture.queue.remove(first);
  cr_assert(fixture.queue.nonempty_for(fixture.now) == seconds(1));
  fixture.start_waiting(1);
  cr_assert(fixture.queue.nonempty_for(fixture.now) == Duration::zero());
  fixture.enqueue(1, 'c');
  cr_assert(fixture.queue.nonempty_for(fixture.now) == Duration::zero());
}

// Guards against an endless loop that offers a call the same leaf.
Test(call_queue,
     a_call_that_cannot_start_is_tried_once_and_keeps_its_position) {
  Fixture fixture;
  int tries = 0;
  (void)fixture.queue.enqueue(1, {}, unstartable(tries), fixture.now);
  fixture.enqueue(1, 'b');
  fixture.start_waiting(5);
  cr_assert(tries == 1);
  cr_assert(fixture.started == "b");
  cr_assert(fixture.queue.count_ahead(1, {}) == 1);
  fixture.enqueue(1, 'c');
  fixture.start_waiting(1);
  cr_assert(tries == 2, "still ahead of later calls");
}

// Guards against one customer's calls that hold up those of all others.
Test(call_queue, a_customer_without_backlog_overtakes_one_with_many_calls) {
  Fixture fixture;
  fixture.share = {"hot"};
  for (int i = 0; i < 50; ++i) {
    fixture.enqueue(1, 'h');
  }
  cr_assert(fixture.queue.count_ahead(1, {"hot"}) == 50);
  cr_assert(fixture.queue.count_ahead(1, {"quiet"}) <= 1);
  fixture.share = {"quiet"};
  fixture.enqueue(1, 'q');
  fixture.enqueue(0, 'u');
  fixture.start_waiting(3);
  cr_assert(fixture.started == "uhq");
}

}  // namespace
}  // namespace ibismux::dispatch
