#include "ibismux/store/host_entry.h"

#include <criterion/criterion.h>

namespace ibismux::store {
namespace {

HostEntry entry() {
  return {"h1", "10.0.0.1:7740", "z1", false, {{"z1", 23}, {"z2", 22}}};
}

Test(host_entry, passes_through_its_value) {
  const auto back = decode_host_entry(encode(entry()));
  cr_assert(back.has_value());
  cr_assert(back->name == "h1");
  cr_assert(back->peer_address == "10.0.0.1:7740");
  cr_assert(back->zone == "z1");
  cr_assert(!back->leaving);
  cr_assert(back->fleet == entry().fleet);
  cr_assert(total_of(back->fleet) == 45);
}

Test(host_entry, of_an_older_version_tells_no_size) {
  const auto back = decode_host_entry(
      R"({"name":"h1","peer_address":"10.0.0.1:1","zone":"z","leaving":true})");
  cr_assert(back.has_value());
  cr_assert(back->leaving);
  cr_assert(total_of(back->fleet) == 0);
}

Test(host_entry, what_is_malformed_is_refused_with_a_reason) {
  for (
      const char* value :
      {"", "[]", "{}",
       R"({"name":1,"peer_address":"a","zone":"z","leaving":false})",
       R"({"name":"h","peer_address":"a","zone":"z","leaving":false,"fleet":3})",
       R"({"name":"h","peer_address":"a","zone":"z","leaving":false,"fleet":{"z":-1}})"}) {
    const auto back = decode_host_entry(value);
    cr_assert(!back.has_value(), "%s", value);
    cr_assert(back.error().kind == ErrorKind::kProtocolError);
  }
}

}  // namespace
}  // namespace ibismux::store
