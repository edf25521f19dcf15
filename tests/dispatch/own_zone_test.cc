#include <boost/asio/io_context.hpp>
#include <memory>
#include <vector>

#include "ibismux/dispatch/dispatch_settings.h"
#include "ibismux/dispatch/leaf.h"
#include "ibismux/dispatch/service_group.h"
#include "ibismux/eventlog/event_log.h"
#include "tests/dispatch/fake_leafs.h"

#include <criterion/criterion.h>

namespace ibismux::dispatch::testing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kUsual{8};
constexpr milliseconds kObjective{80};

/// Guards against calls that leave the zone to save very little time. In the
/// load that showed this, one daemon of a zone had two fifths of the callers,
/// and the zone's leaf of each shard was the slowest of three, with 1.6 times
/// the usual latency. Without any faults, 8 of 100 calls left the zone because
/// an idle leaf of another zone was 2 ms faster, with an objective of 80 ms.
struct Fixture {
  boost::asio::io_context loop;
  eventlog::EventLog log{this->loop, {.descriptor = -1}};
  FakeLeafs leafs;
  DispatchSettings settings{.member = "h0", .zone = "z0"};
  ServiceGroup group{"s1", this->settings, 10};
  TimePoint now = Clock::now();
  std::vector<std::shared_ptr<ActiveCall>> calls;

  Fixture() {
    for (int i = 0; i < 3; ++i) {
      directory::LeafEntry entry;
      entry.run.id = "s1-" + std::to_string(i);
      entry.service = "s1";
      entry.zone = "z" + std::to_string(i);
      entry.slots = 2;
      auto leaf = std::make_shared<Leaf>(this->loop, this->leafs, this->log,
                                         this->settings.policy, entry, [] {});
      leaf->grant_links({.max_links = 3, .keep = true});
      this->group.add(std::move(leaf));
    }
    this->record_calls(this->own_zone_leaf(), 1.6);
    this->record_calls(*this->group.leafs()[1], 0.8);
    this->record_calls(*this->group.leafs()[2], 1.3);
  }

  [[nodiscard]] Leaf& own_zone_leaf() { return *this->group.leafs()[0]; }

  /// Records 30 calls that took `ratio` times the usual latency.
  void record_calls(Leaf& leaf, double ratio) {
    for (int i = 0; i < 30; ++i) {
      const auto ticket = leaf.estimate().sent(this->now);
      leaf.estimate().answered(ticket, kUsual,
                               this->now + scaled(kUsual, ratio));
    }
    this->now += kUsual;
  }

  /// Starts one more call that doesn't end at the leaf of this zone.
  void occupy() {
    auto call = std::make_shared<LeafCall>();
    call->deadline = TimePoint::max();
    this->calls.push_back(std::make_shared<ActiveCall>());
    this->own_zone_leaf().start({.call = std::move(call),
                                 .active = this->calls.back(),
                                 .typical_latency = kUsual,
                                 .unloaded = kUsual,
                                 .on_unresponsive = [] {},
                                 .on_end = [](const CallEnd&) {}});
  }

  [[nodiscard]] std::string chosen() const {
    const auto leaf = this->group.choose(
        {.typical_latency = kUsual, .objective = kObjective}, this->now);
    return leaf ? leaf->entry().run.id : "";
  }
};

Test(own_zone, a_slower_leaf_with_a_free_slot_keeps_the_calls_of_its_zone) {
  Fixture fixture;
  cr_assert(fixture.chosen() == "s1-0");
  fixture.occupy();
  cr_assert(fixture.chosen() == "s1-0");
}

Test(own_zone, a_leaf_without_a_free_slot_is_compared_with_others) {
  Fixture fixture;
  fixture.occupy();
  fixture.occupy();
  cr_assert(fixture.chosen() == "s1-1");
}

Test(own_zone, a_slow_or_failing_leaf_loses_the_calls_of_its_zone) {
  Fixture slow;
  slow.record_calls(slow.own_zone_leaf(), 4);
  cr_assert(slow.chosen() == "s1-1");
  Fixture failing;
  for (int i = 0; i < 10; ++i) {
    failing.own_zone_leaf().estimate().failed(
        failing.own_zone_leaf().estimate().sent(failing.now), failing.now);
  }
  cr_assert(failing.chosen() == "s1-1");
}

Test(own_zone, an_unresponsive_leaf_loses_the_calls_of_its_zone_at_once) {
  Fixture fixture;
  (void)fixture.own_zone_leaf().estimate().sent(fixture.now);
  fixture.now += kUsual * 3;
  cr_assert(fixture.chosen() == "s1-1");
}

}  // namespace
}  // namespace ibismux::dispatch::testing
