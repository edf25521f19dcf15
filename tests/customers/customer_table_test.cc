#include "ibismux/customers/customer_table.h"

#include <cmath>

#include <criterion/criterion.h>

namespace ibismux::customers::testing {
namespace {

struct Fixture {
  KeyHasher hasher{std::string(KeyHasher::kSaltBytes, 's')};
  std::vector<CustomerTable::Entry> entries;

  void add(const std::string& name,
           const std::vector<std::string>& keys,
           RateLimit limit = {}) {
    CustomerTable::Entry entry{{name, std::nullopt, limit}, {}};
    for (const std::string& key : keys) {
      entry.keys.push_back(this->hasher.digest(key));
    }
    this->entries.push_back(std::move(entry));
  }
  [[nodiscard]] CustomerTable table() const {
    return {this->hasher, this->entries};
  }
};

Test(customer_table, finds_customers_by_each_of_their_keys) {
  Fixture fixture;
  fixture.add("a", {"k1", "k2"});
  fixture.add("b", {"k3"});
  const CustomerTable table = fixture.table();
  cr_assert(table.find_by_key("k1")->name == "a");
  cr_assert(table.find_by_key("k2")->name == "a");
  cr_assert(table.find_by_key("k3")->name == "b");
  cr_assert(!table.find_by_key("k4") && !table.find_by_key(""));
  cr_assert(table.find_by_name("b") && !table.find_by_name("c"));
  cr_assert(table.odd_entries() == 0);
}

// Guards against requests that run under another customer's name.
Test(customer_table, a_key_that_two_customers_hold_serves_neither) {
  Fixture fixture;
  fixture.add("a", {"k1", "k2"});
  fixture.add("b", {"k1"});
  fixture.add("c", {"k1"});
  const CustomerTable table = fixture.table();
  cr_assert(!table.find_by_key("k1"));
  cr_assert(table.find_by_key("k2")->name == "a");
  cr_assert(table.odd_entries() > 0);
}

Test(customer_table, odd_customers_leave_the_others_in_force) {
  Fixture fixture;
  fixture.add("", {"k1"});
  fixture.add("a\r\nX-Other: b", {"k2"});
  fixture.add(std::string(10'000, 'n'), {"k3"});
  fixture.add("a", {"k4"}, {-1, 0});
  fixture.add("a", {"k5"});
  fixture.add("b", {"k6"}, {std::nan(""), 0});
  const CustomerTable table = fixture.table();
  cr_assert(table.size() == 2 && table.odd_entries() == 6);
  cr_assert(!table.find_by_key("k1") && !table.find_by_key("k2"));
  cr_assert(!table.find_by_key("k3") && !table.find_by_key("k5"));
  cr_assert(!table.find_by_key("k4")->limit.is_limited());
  cr_assert(!table.find_by_key("k6")->limit.is_limited());
}

Test(key_digest, depends_on_the_salt_and_converts_to_text_and_back) {
  const KeyHasher a(KeyHasher::random_salt());
  const KeyHasher b(KeyHasher::random_salt());
  cr_assert(a.digest("k") == a.digest("k") && a.digest("k") != b.digest("k"));
  const KeyDigest digest = a.digest("k");
  const std::string bytes(digest.begin(), digest.end());
  cr_assert(from_hex(to_hex(digest)) == bytes);
  cr_assert(from_hex("0g").empty() && from_hex("abc").empty());
}

}  // namespace
}  // namespace ibismux::customers::testing
