#include "ibismux/startup/start_waiters.h"
#include "tests/dispatch/dispatch_fixture.h"

#include <criterion/criterion.h>

namespace ibismux::dispatch {
namespace {

using testing::DispatchFixture;

/// A daemon that has just started, beside one that has the configuration.
struct Fixture : DispatchFixture {
  prometheus::Registry own_registry;
  startup::StartWaiters waiters{this->loop,
                                {},
                                Clock::now(),
                                this->own_registry};
  Dispatcher starting{this->loop, this->leafs, this->settings,
                      this->own_registry, this->log};

  void begin_at_start(const std::string& id) {
    this->spawn(id,
                this->starting.handle(this->request(id, "/page/1"),
                                      std::make_shared<http::CancelToken>()));
    this->loop.poll();
  }

  void list_leafs() {
    for (const auto& [id, entry] : this->entries) {
      this->starting.on_leaf_updated(entry);
    }
    this->starting.on_listing_end();
  }
};

// Guards against refusals in the moment in which the configuration arrives.
Test(start, a_request_waits_for_the_configuration_and_the_leafs) {
  Fixture fixture;
  fixture.starting.set_start_waiters(fixture.waiters);
  fixture.begin_at_start("r1");
  cr_assert(!fixture.outcomes.contains("r1"));
  fixture.starting.activate(fixture.dispatcher.table());
  fixture.loop.poll();
  cr_assert(!fixture.outcomes.contains("r1"));
  fixture.list_leafs();
  cr_assert(fixture.run_until([&] { return fixture.outcomes.contains("r1"); }));
  cr_assert(fixture.outcomes.at("r1").has_value());
}

// Guards against refusals while the leafs that a registry has lost are read
// from elsewhere.
Test(start, a_request_waits_for_leafs_that_are_expected) {
  Fixture fixture;
  fixture.starting.set_start_waiters(fixture.waiters);
  fixture.starting.activate(fixture.dispatcher.table());
  fixture.starting.on_listing_begin();
  fixture.starting.on_listing_end();
  fixture.starting.expect_leafs(true);
  fixture.begin_at_start("r1");
  cr_assert(!fixture.outcomes.contains("r1"));
  fixture.list_leafs();
  fixture.starting.expect_leafs(false);
  cr_assert(fixture.run_until([&] { return fixture.outcomes.contains("r1"); }));
  cr_assert(fixture.outcomes.at("r1").has_value());
}

// Guards against requests that wait for the leafs of other services.
Test(start, a_request_whose_leafs_are_known_waits_for_no_others) {
  Fixture fixture;
  fixture.starting.set_start_waiters(fixture.waiters);
  fixture.starting.activate(fixture.dispatcher.table());
  fixture.list_leafs();
  fixture.starting.expect_leafs(true);
  fixture.begin_at_start("r1");
  cr_assert(fixture.run_until([&] { return fixture.outcomes.contains("r1"); }));
  cr_assert(fixture.outcomes.at("r1").has_value());
}

Test(start, without_waiting_a_request_is_refused_at_once) {
  Fixture fixture;
  fixture.begin_at_start("r1");
  cr_assert(fixture.outcomes.contains("r1"));
  const Error& error = fixture.outcomes.at("r1").error();
  cr_assert(error.kind == ErrorKind::kNotReady);
  cr_assert(error.retry_after);
}

}  // namespace
}  // namespace ibismux::dispatch
