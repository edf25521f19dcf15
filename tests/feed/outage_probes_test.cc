#include "ibismux/feed/outage_probes.h"

#include <criterion/criterion.h>

namespace ibismux::feed {
namespace {

Test(outage_probes, a_daemon_on_which_others_rely_keeps_its_pace) {
  OutageProbes probes(1);
  for (int i = 0; i < 20; ++i) {
    cr_assert(probes.on_failure(true) == OutageProbes::kProberPause);
  }
}

Test(outage_probes, the_others_wait_longer_after_each_failure) {
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    OutageProbes probes(seed);
    Duration longest = OutageProbes::kFirstPause;
    for (int i = 0; i < 100; ++i) {
      const Duration pause = probes.on_failure(false);
      cr_assert(pause >= longest / 2 && pause <= longest);
      longest = std::min<Duration>(longest * 2, OutageProbes::kMaxPause);
    }
  }
}

Test(outage_probes, an_answer_ends_the_growth) {
  OutageProbes probes(1);
  for (int i = 0; i < 5; ++i) {
    static_cast<void>(probes.on_failure(false));
  }
  probes.on_answer();
  cr_assert(probes.on_failure(false) <= OutageProbes::kFirstPause);
}

// Guards against daemons whose contacts aged together and that ask together.
Test(outage_probes, daemons_wait_for_different_times) {
  OutageProbes one(1);
  OutageProbes other(2);
  cr_assert(one.on_failure(false) != other.on_failure(false));
}

}  // namespace
}  // namespace ibismux::feed
