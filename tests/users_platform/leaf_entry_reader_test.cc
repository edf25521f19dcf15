#include "platform/leaf_entry_reader.h"

#include <rapidcheck.h>

#include <cstdlib>
#include <string>
#include <vector>

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
  cr_assert(leaf->run.id == "i-1" && leaf->service == "s1");
  cr_assert(leaf->address == "10.0.0.9" && leaf->port == 8080);
  cr_assert(leaf->zone == "z1" && leaf->slots == 2 && !leaf->draining);
  cr_assert(leaf->warmup_left == std::chrono::milliseconds(1500));
}

Test(leaf_entry_reader, a_leaf_that_leaves_says_so) {
  cr_assert(decode(entry("\"10.0.0.9:8080\"", "draining"))->draining);
}

/// A whole entry with `key` replaced by `value`, or left out where it is empty.
std::string entry_with(const std::string& key, const std::string& value) {
  const std::vector<std::pair<std::string, std::string>> fields = {
      {"Service", "\"s1\""},    {"Address", "\"10.0.0.9:8080\""},
      {"Zone", "\"z1\""},       {"Version", "\"v1\""},
      {"Slots", "2"},           {"State", "\"ready\""},
      {"WarmupLeftMs", "0"},    {"Seq", "4"},
      {"born", "1700000000123"}};
  std::string text;
  for (const auto& [name, usual] : fields) {
    const std::string& used = name == key ? value : usual;
    if (!used.empty()) {
      text += (text.empty() ? "{" : ",") + ('"' + name + "\":") + used;
    }
  }
  return text + '}';
}

directory::EntryFault fault_of(const std::string& text) {
  const auto leaf = decode(text);
  cr_assert(!leaf.has_value(), "%s", text.c_str());
  cr_assert(!leaf.error().message.empty());
  return leaf.error().fault;
}

Test(leaf_entry_reader, tells_when_the_run_started) {
  const auto leaf = decode(entry_with("", ""));
  cr_assert(leaf->run.id == "i-1" && leaf->sequence == 4);
  cr_assert(leaf->run.started == std::chrono::milliseconds(1'700'000'000'123));
  cr_assert(decode(entry_with("born", ""))->run.started.count() == 0);
}

// Failure: a service loses its leafs, or calls go where none is.
Test(leaf_entry_reader, an_entry_by_another_writer_names_no_leaf) {
  using directory::EntryFault;
  for (const char* key : {"Service", "Address", "Zone", "Slots", "State",
                          "WarmupLeftMs", "Seq"}) {
    for (const char* odd : {"", "null", "{}", "[]", "true", "-1", "1.5"}) {
      const EntryFault fault = fault_of(entry_with(key, odd));
      cr_assert(fault == EntryFault::kField, "%s: %s", key, odd);
    }
  }
  for (const char* odd : {"null", "\"1\"", "-1", "1.5", "1e300", "{}"}) {
    cr_assert(fault_of(entry_with("born", odd)) == EntryFault::kField);
  }
  for (const char* odd : {"0", "99999999999", "1e300", "\"2\""}) {
    cr_assert(fault_of(entry_with("Slots", odd)) == EntryFault::kField);
  }
  for (const char* odd : {"\"\"", "\"READY\"", "\"paused\"", "\"ready \""}) {
    cr_assert(fault_of(entry_with("State", odd)) == EntryFault::kState);
  }
  for (const char* odd : {"\"leaf.example:80\"", "\"10.0.0:80\"", "\":80\"",
                          "\"10.0.0.9:-1\"", "\"10.0.0.9: 80\""}) {
    cr_assert(fault_of(entry_with("Address", odd)) == EntryFault::kAddress);
  }
  for (const char* odd :
       {"", "null", "7", "\"x\"", "[]", "{", "{\"a\":\xff}"}) {
    cr_assert(fault_of(odd) == EntryFault::kUnreadable);
  }
}

Test(leaf_entry_reader, fields_that_nobody_knows_are_passed_over) {
  std::string text = entry_with("", "");
  text.insert(1, R"("Later":{"a":[1,2]},)");
  cr_assert(decode(text).has_value());
}

Test(leaf_entry_reader, any_damage_is_survived) {
  // rapidcheck takes its seed from the environment alone.
  setenv("RC_PARAMS", "seed=20261203 max_success=3000", 0);
  const std::string whole = entry_with("", "");
  const bool held = rc::check([&] {
    std::string text = whole;
    const int changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes; ++i) {
      const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
      switch (*rc::gen::inRange(0, 3)) {
        case 0:
          text[at] = *rc::gen::arbitrary<char>();
          break;
        case 1:
          text.erase(at, *rc::gen::inRange<std::size_t>(0, 20));
          break;
        default:
          text.insert(at, text.substr(*rc::gen::inRange<std::size_t>(
                              0, text.size() + 1)));
      }
      text += text.empty() ? "{" : "";
    }
    const auto leaf = decode(text);
    if (leaf) {
      RC_ASSERT(leaf->port != 0 && leaf->slots != 0);
      RC_ASSERT(!leaf->service.empty() && !leaf->address.empty());
      RC_ASSERT(leaf->warmup_left.count() >= 0);
      RC_ASSERT(leaf->run.started.count() >= 0);
    } else {
      RC_ASSERT(!leaf.error().message.empty());
    }
  });
  cr_assert(held);
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
