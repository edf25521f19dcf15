#include "ibismux/edge/package_settings.h"

#include "ibismux/edge/edge_settings.h"

#include <criterion/criterion.h>

namespace ibismux::edge::testing {
namespace {

// Guards against switches of policies that operators set in vain.
Test(package_settings, policies_of_limits_reach_the_limiter) {
  EdgeSettings settings;
  settings.wait_for_token = true;
  settings.pace_returns = true;
  cr_assert(rate_settings(settings).wait_for_token);
  cr_assert(rate_settings(settings).pace_returns);
  settings.wait_for_token = false;
  cr_assert(!rate_settings(settings).wait_for_token);
  cr_assert(rate_settings(settings).pace_returns);
  settings.pace_returns = false;
  cr_assert(!rate_settings(settings).pace_returns);
}

}  // namespace
}  // namespace ibismux::edge::testing
