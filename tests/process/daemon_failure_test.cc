#include <csignal>

#include "tests/process/declared_site.h"

#include <criterion/criterion.h>

namespace ibismux {
namespace {

/// Three daemons with the service in force on all.
struct Trio : DeclaredSite {
  Trio() : DeclaredSite(3) {}
};

// Failure: changes wait for a daemon that is gone.
Test(daemon_failure, any_daemon_may_be_killed_between_changes) {
  for (std::size_t victim : {0, 1, 2}) {
    Trio site;
    site.daemon(victim).kill();
    const std::size_t left = (victim + 1) % 3;
    const std::size_t other = (victim + 2) % 3;
    cr_assert(site.declare(left, "query_service:manuals", with_deadline(4000))
                  .status == 200);
    cr_assert(site.comes_to_be_in_force(left, 4000));
    cr_assert(site.comes_to_be_in_force(other, 4000));
    cr_assert(site.comes_to_answer(left));
    cr_assert(site.comes_to_answer(other));
  }
}

// Failure: an old configuration comes back.
Test(daemon_failure, a_frozen_daemon_brings_nothing_old_back) {
  Trio site;
  site.daemon(0).signal(SIGSTOP);
  for (int deadline : {4000, 4001}) {
    cr_assert(site.declare(1, "query_service:manuals", with_deadline(deadline))
                  .status == 200);
    cr_assert(site.comes_to_be_in_force(1, deadline));
  }
  const auto generation = site.generation(1);
  site.daemon(0).signal(SIGCONT);
  cr_assert(site.comes_to_be_in_force(0, 4001));
  cr_assert(site.generation(0) >= generation);
  cr_assert(site.comes_to_be_in_force(2, 4001));
  cr_assert(site.deadline_ms(1, "manuals") == 4001);
  cr_assert(site.comes_to_answer(0));
}

// Failure: nobody finishes the change of a daemon that was killed.
Test(daemon_failure, a_change_outlives_the_daemon_that_took_it) {
  Trio site;
  for (std::size_t victim : {0, 1}) {
    const int deadline = 4000 + static_cast<int>(victim);
    cr_assert(
        site.declare(victim, "query_service:manuals", with_deadline(deadline))
            .status == 200);
    site.daemon(victim).kill();
    cr_assert(site.comes_to_be_in_force(2, deadline));
  }
}

Test(daemon_failure, a_planned_stop_ends_with_status_0) {
  Trio site;
  cr_assert(site.daemon(1).terminate() == 0);
  cr_assert(site.comes_to_answer(0));
}

}  // namespace
}  // namespace ibismux
