// A daemon that asks the owner of a limit, with an owner that answers as told.

#include "ibismux/customers/rate_limiter.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <deque>
#include <vector>

#include "ibismux/eventlog/event_log.h"
#include "ibismux/membership/membership_view.h"
#include "tests/support/fake_peer_network.h"
#include "tests/support/run_task.h"

#include <criterion/criterion.h>

namespace ibismux::customers::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Daemon "a", and daemon "b" that owns a part of all limits. It refuses once
/// for each of `refusals`, with the time until its next token, and grants then.
struct Fixture {
  boost::asio::io_context loop;
  tests::FakePeerCluster cluster;
  peer::PeerNetwork& a = this->cluster.add({"a", 1}, this->loop.get_executor());
  peer::PeerNetwork& b = this->cluster.add({"b", 1}, this->loop.get_executor());
  prometheus::Registry registry;
  eventlog::EventLog log{this->loop, {.descriptor = -1}};
  std::shared_ptr<RateLimiter> limiter;
  std::deque<milliseconds> refusals;
  int asked = 0;
  std::vector<Result<RateGrant>> results;

  explicit Fixture(bool wait_for_token = true) {
    this->limiter = std::make_shared<RateLimiter>(
        &this->a,
        RateLimiter::Settings{
            "a", "z1", {seconds(5), 0, 0}, wait_for_token, true},
        this->registry, this->log);
    this->limiter->start();
    membership::MembershipView view;
    view.self = "a";
    view.members = {{"a", 1, {}, 1, "z1"}, {"b", 1, {}, 1, "z2"}};
    this->limiter->on_view(view, 2);
    this->b.on_request(
        peer::MessageKind::kRateRequest,
        [this](Incarnation, std::string) -> Task<Result<std::string>> {
          co_return this->answer();
        });
  }

  std::string answer() {
    ++this->asked;
    RateReply reply{.is_owner = true, .granted = this->refusals.empty()};
    if (!reply.granted) {
      reply.retry_after = this->refusals.front();
      this->refusals.pop_front();
    }
    return encode(reply);
  }

  /// A request whose answer is in time if it starts within `room`.
  RateCheck check(Duration room) {
    RateCheck check;
    check.customer = {"c", std::nullopt, {10, 0}};
    check.configuration = 1;
    check.latest_start = Clock::now() + room;
    check.deadline = Clock::now() + seconds(60);
    return check;
  }

  void request(Duration room) {
    this->loop.restart();
    boost::asio::co_spawn(
        this->loop, this->limiter->admit(this->check(room)),
        [this](const std::exception_ptr&, Result<RateGrant> result) {
          this->results.push_back(std::move(result));
        });
  }

  Result<RateGrant> run(Duration room) {
    this->results.clear();
    this->request(room);
    while (this->results.empty()) {
      this->loop.run_one();
    }
    return this->results.front();
  }
};

// Guards against refusals of a burst at about the limit.
Test(rate_limiter, a_request_waits_for_its_token) {
  Fixture fixture;
  fixture.refusals = {milliseconds(30)};
  cr_assert(fixture.run(seconds(30)).has_value());
  cr_assert(fixture.asked == 2);
}

Test(rate_limiter, a_request_waits_twice_at_most) {
  Fixture fixture;
  fixture.refusals.assign(9, milliseconds(5));
  cr_assert(!fixture.run(seconds(30)));
  cr_assert(fixture.asked == 3);
}

Test(rate_limiter, nothing_waits_if_it_is_switched_off) {
  Fixture fixture(false);
  fixture.refusals = {milliseconds(30)};
  const auto result = fixture.run(seconds(30));
  cr_assert(!result && result.error().kind == ErrorKind::kRateLimited);
  cr_assert(fixture.asked == 1);
}

// Guards against callers that are told a time at which there is no token, as
// the owner was not asked for them.
Test(rate_limiter, callers_refused_from_memory_are_told_the_promised_token) {
  Fixture fixture;
  fixture.refusals.assign(9, milliseconds(60'000));
  for (int i = 0; i < 2; ++i) {
    const auto result = fixture.run(milliseconds(100));
    cr_assert(!result && result.error().retry_after > seconds(30));
  }
}

// Guards against a request that waits for its token and is then stopped by the
// refusal of another one.
Test(rate_limiter, a_request_that_wakes_asks_the_owner_that_promised) {
  Fixture fixture;
  // The second one is refused for so long that the daemon then asks no more.
  fixture.refusals = {milliseconds(50), milliseconds(60'000)};
  fixture.request(seconds(30));
  while (fixture.asked < 1) {
    fixture.loop.run_one();
  }
  fixture.request(seconds(30));
  while (fixture.results.size() < 2) {
    fixture.loop.run_one();
  }
  cr_assert(!fixture.results.at(0));
  cr_assert(fixture.results.at(1).has_value());
}

// Guards against dangling references of requests that wait when the daemon
// ends.
Test(rate_limiter, a_daemon_ends_while_requests_wait) {
  Fixture fixture;
  fixture.refusals.assign(9, milliseconds(20'000));
  fixture.request(seconds(60));
  while (fixture.asked < 1) {
    fixture.loop.run_one();
  }
  fixture.loop.poll();
  fixture.limiter.reset();
  cr_assert(fixture.results.empty());
}

}  // namespace
}  // namespace ibismux::customers::testing
