#include "ibismux/startup/start_waiters.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <criterion/criterion.h>

namespace ibismux::startup::testing {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct Fixture {
  boost::asio::io_context loop;
  prometheus::Registry registry;
  StartWaiters waiters;
  bool met = false;
  int ended = 0;
  int served = 0;

  explicit Fixture(std::size_t max_waiting = 10,
                   Duration age = Duration::zero())
      : waiters(this->loop,
                {.max_waiting = max_waiting},
                Clock::now() - age,
                this->registry) {}

  /// A request that may wait for `room`.
  void request(Duration room) {
    boost::asio::co_spawn(this->loop, this->wait(room), boost::asio::detached);
  }

  Task<void> wait(Duration room) {
    std::function<bool()> is_met = [this] { return this->met; };
    const StartWaiters::Result result = co_await this->waiters.wait(
        Need::kConfiguration, Clock::now() + room, 1, std::move(is_met));
    ++this->ended;
    this->served += result.is_met ? 1 : 0;
  }
};

Test(start_waiters, a_request_goes_on_when_what_it_lacks_is_there) {
  Fixture fixture;
  fixture.request(hours(1));
  fixture.request(hours(1));
  fixture.loop.poll();
  cr_assert(fixture.ended == 0);
  fixture.waiters.notify();  // Of something else.
  fixture.loop.poll();
  cr_assert(fixture.ended == 0);
  fixture.met = true;
  fixture.waiters.notify();
  fixture.loop.poll();
  cr_assert(fixture.ended == 2);
  cr_assert(fixture.served == 2);
}

// Guards against requests that wait beyond the stop of their daemon.
Test(start_waiters, no_request_waits_once_the_daemon_stops) {
  Fixture fixture;
  fixture.request(hours(1));
  fixture.loop.poll();
  cr_assert(fixture.ended == 0);
  fixture.waiters.close();
  fixture.request(hours(1));
  fixture.loop.poll();
  cr_assert(fixture.ended == 2);
  cr_assert(fixture.served == 0);
}

Test(start_waiters, a_request_that_waits_in_vain_ends_by_itself) {
  Fixture fixture(10, milliseconds(3900));
  fixture.request(hours(1));
  fixture.loop.run();
  cr_assert(fixture.ended == 1);
  cr_assert(fixture.served == 0);
}

// Guards against places that are never given back.
Test(start_waiters, a_place_is_free_again_after_a_request_has_ended) {
  Fixture fixture(1);
  fixture.request(hours(1));
  fixture.loop.poll();
  fixture.request(hours(1));
  fixture.loop.poll();
  cr_assert(fixture.ended == 1);  // The second one was refused at once.
  fixture.met = true;
  fixture.waiters.notify();
  fixture.loop.poll();
  fixture.met = false;
  fixture.request(hours(1));
  fixture.loop.poll();
  cr_assert(fixture.ended == 2);
}

}  // namespace
}  // namespace ibismux::startup::testing
