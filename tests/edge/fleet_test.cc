#include "ibismux/edge/fleet.h"

#include <prometheus/registry.h>

#include <boost/asio/steady_timer.hpp>

#include "ibismux/base/io_pool.h"
#include "ibismux/edge/contact_slots.h"
#include "tests/support/memory_object_store.h"

#include <criterion/criterion.h>

namespace ibismux::edge {
namespace {

using std::chrono::milliseconds;

/// A daemon that starts with a store that lists `contact`.
class StartingDaemon {
 public:
  explicit StartingDaemon(store::HostEntry contact) {
    this->store.set_hosts({std::move(contact)});
    cr_assert(this->fleet.start().has_value());
  }

  /// Returns the fleet size once it is known; waits at most 20 seconds.
  FleetSize size() {
    const TimePoint end = Clock::now() + std::chrono::seconds(20);
    FleetSize size = this->fleet.size(Clock::now());
    while (!size.known && Clock::now() < end) {
      this->pool.at(0).run_for(milliseconds(10));
      size = this->fleet.size(Clock::now());
    }
    return size;
  }

 private:
  IoPool pool{1};
  prometheus::Registry registry;
  ibismux::testing::MemoryObjectStore store;
  Fleet fleet{
      this->pool,
      this->store,
      this->registry,
      {"h0", "z1", "127.0.0.1:0"},
      {[](const membership::MembershipView&, const gather::GatherRoles&) {},
       [] {}}};
};

// Guards against daemons of a large fleet that assume a small fleet at the
// start.
Test(fleet, size_is_known_from_a_contact_before_others_join) {
  StartingDaemon daemon(
      {"h9", "127.0.0.1:1", "z2", false, {{"z1", 45}, {"z2", 46}}});
  const FleetSize size = daemon.size();
  cr_assert(size.known);
  cr_assert(size.sharers.hosts == 91);
  cr_assert(size.sharers.hosts_by_zone.at("z1") == 45);
  cr_assert(size.sharers.rank < 91);
}

store::HostEntry contact(std::size_t hosts) {
  return {"h1", "10.0.0.1:1", "z", false, {{"z", hosts}}};
}

Test(contact_slots, an_entry_is_replaced_for_another_daemon_or_fleet_size) {
  cr_assert(!should_replace(contact(91), contact(91)));
  cr_assert(!should_replace(contact(88), contact(91)));
  cr_assert(should_replace(contact(60), contact(91)));
  cr_assert(should_replace(contact(91), contact(1)));
  store::HostEntry moved = contact(91);
  moved.peer_address = "10.0.0.2:1";
  cr_assert(should_replace(moved, contact(91)));
}

}  // namespace
}  // namespace ibismux::edge
