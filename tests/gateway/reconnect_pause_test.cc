#include "ibismux/gateway/reconnect_pause.h"

#include <criterion/criterion.h>

namespace ibismux::gateway {
namespace {

using std::chrono::milliseconds;

Duration after_failures(ReconnectPause& pause, int failures, bool alone) {
  Duration last{};
  for (int i = 0; i < failures; ++i) {
    last = pause.failed(alone);
  }
  return last;
}

Test(reconnect_pause, it_doubles_up_to_a_limit_and_begins_anew) {
  const GatewaySettings settings;
  ReconnectPause pause(settings);
  cr_assert(pause.failed(false) == milliseconds(50));
  cr_assert(pause.failed(false) == milliseconds(100));
  cr_assert(after_failures(pause, 10, false) == settings.longest_pause);
  pause.opened();
  cr_assert(pause.failed(false) == milliseconds(50));
}

// Failure: a leaf that is back stays unused for seconds.
Test(reconnect_pause, a_leaf_that_is_back_is_found_soon) {
  const GatewaySettings settings;
  ReconnectPause pause(settings);
  cr_assert(after_failures(pause, 20, true) == milliseconds(250));
}

}  // namespace
}  // namespace ibismux::gateway
