#include "platform/leaf_entry_reader.h"

#include <criterion/criterion.h>

namespace ibismux::users_platform {
namespace {

auto decode(const std::string& text) {
  return LeafEntryReader().decode({"servers", "i-1", 5, text});
}

std::string entry(const std::string& address, const std::string& state) {
  return R"({"Service":"s1","Address":)" + address +
         R"(,"Zone":"z1","Version":"v1","Slots":2,"State":")" + state +
         R"(","WarmupLeftMs":1500,"Seq":4})";
}

Test(leaf_entry_reader, reads_what_a_leaf_says_of_itself) {
  const auto leaf = decode(entry("\"10.0.0.9:8080\"", "ready"));
  cr_assert(leaf.has_value());
  cr_assert(leaf->instance == "i-1" && leaf->service == "s1");
  cr_assert(leaf->address == "10.0.0.9" && leaf->port == 8080);
  cr_assert(leaf->zone == "z1" && leaf->slots == 2 && !leaf->draining);
  cr_assert(leaf->warmup_left == std::chrono::milliseconds(1500));
}

Test(leaf_entry_reader, a_leaf_that_leaves_says_so) {
  cr_assert(decode(entry("\"10.0.0.9:8080\"", "draining"))->draining);
}

Test(leaf_entry_reader, odd_entries_are_refused) {
  for (const char* odd : {"\"10.0.0.9\"", "\"10.0.0.9:\"", "\"10.0.0.9:0\"",
                          "\"10.0.0.9:x\"", "\"10.0.0.9:99999\"", "7"}) {
    cr_assert(!decode(entry(odd, "ready")).has_value());
  }
  cr_assert(!decode("").has_value());
  cr_assert(!decode("{}").has_value());
  cr_assert(!decode("null").has_value());
}

}  // namespace
}  // namespace ibismux::users_platform
