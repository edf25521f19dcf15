#include "ibismux/customers/key_trust.h"

#include <criterion/criterion.h>

namespace ibismux::customers {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

// Guards against keys that were taken away while a daemon was cut off from the
// store and all peers.
Test(key_trust, strict_keys_end_with_their_lifetime) {
  const KeyTrust trust({.strict = true, .limit = milliseconds(5000)});
  cr_assert(trust.check(milliseconds(0)).has_value());
  cr_assert(trust.check(milliseconds(5000)).has_value());
  for (const Duration age : {Duration(milliseconds(5001)), Duration::max()}) {
    const auto refused = trust.check(age);
    cr_assert(!refused.has_value());
    cr_assert(refused.error().kind == ErrorKind::kNotReady);
    cr_assert(refused.error().execution == Execution::kNotRun);
    cr_assert(refused.error().retry_after > milliseconds(0));
  }
}

// Guards against an outage of the store that ends all service.
Test(key_trust, by_default_keys_outlast_any_outage) {
  const KeyTrust trust({});
  cr_assert(trust.check(hours(100)).has_value());
  cr_assert(trust.check(Duration::max()).has_value());
}

}  // namespace
}  // namespace ibismux::customers
