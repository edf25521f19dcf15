#include "ibismux/dispatch/repeat_burst.h"

#include "ibismux/dispatch/link_plan.h"

#include <criterion/criterion.h>

namespace ibismux::dispatch {
namespace {

constexpr double kSlack = 198;

double burst(std::size_t hosts,
             std::size_t gatherers,
             bool gathers,
             double slack = kSlack) {
  LinkSharers sharers;
  sharers.hosts = hosts;
  sharers.gatherers = gatherers;
  sharers.gathers = gathers;
  return repeat_burst(slack, sharers);
}

Test(repeat_burst, hosts_with_the_same_role_share_evenly) {
  cr_assert(burst(99, 0, false) == 2);
  cr_assert(burst(99, 99, true) == 2);
  cr_assert(burst(3, 0, false) == burst(2, 0, false));
}

// A few daemons make the leaf calls of all queries over many shards.
Test(repeat_burst, gathering_daemons_may_accumulate_more) {
  cr_assert(burst(79, 6, true) == 6);
  cr_assert(burst(79, 6, false) > 2);
  cr_assert(burst(79, 6, true) > 2 * burst(79, 0, false));
}

// Guards against a fleet that sends more repeats than its services can bear.
Test(repeat_burst, the_shares_add_up_to_no_more_than_the_total) {
  for (const double slack : {0.0, 3.0, 54.0, 198.0, 5000.0}) {
    for (std::size_t hosts = 1; hosts <= 300; hosts += 13) {
      for (std::size_t gatherers = 0; gatherers <= hosts; gatherers += 7) {
        const auto gathering = static_cast<double>(gatherers);
        const auto others = static_cast<double>(hosts - gatherers);
        const double sum = gathering * burst(hosts, gatherers, true, slack) +
                           others * burst(hosts, gatherers, false, slack);
        cr_assert(sum <= slack * 1.000001 || slack == 0, "%zu %zu", hosts,
                  gatherers);
        cr_assert(burst(hosts, gatherers, false, slack) >= 0);
      }
    }
  }
}

}  // namespace
}  // namespace ibismux::dispatch
