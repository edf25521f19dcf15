#include "ibismux/customers/customer_counters.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>

namespace ibismux::customers {
namespace {

constexpr const char* kByCustomer = "ibismux_customer_requests_total";

struct Fixture {
  prometheus::Registry registry;
  CustomerCounters counters{this->registry};

  void count(const std::string& customer, RateResult result, std::size_t n) {
    for (std::size_t i = 0; i < n; ++i) {
      this->counters.count(customer, result);
    }
  }

  /// The counters of family `name` that have this label; all if it is empty.
  [[nodiscard]] double sum(const std::string& name,
                           const std::string& label,
                           const std::string& value) const {
    double sum = 0;
    for (const auto& family : this->registry.Collect()) {
      for (const auto& metric : family.metric) {
        const auto& labels = metric.label;
        const bool matches =
            std::any_of(labels.begin(), labels.end(), [&](const auto& pair) {
              return pair.name == label && pair.value == value;
            });
        sum += family.name == name && matches ? metric.counter.value : 0;
      }
    }
    return sum;
  }
  [[nodiscard]] double of(const std::string& customer) const {
    return this->sum(kByCustomer, "customer", customer);
  }
  [[nodiscard]] std::set<std::string> names() const {
    std::set<std::string> names;
    for (const auto& family : this->registry.Collect()) {
      for (const auto& metric : family.metric) {
        for (const auto& pair : metric.label) {
          if (pair.name == "customer") {
            names.insert(pair.value);
          }
        }
      }
    }
    return names;
  }
};

Test(customer_counters, customers_that_are_refused_much_have_their_own) {
  Fixture fixture;
  fixture.count("a", RateResult::kGranted, 50);
  fixture.count("a", RateResult::kRefused, CustomerCounters::kMinRefusals - 1);
  cr_assert(fixture.names() == std::set<std::string>({""}));
  fixture.count("a", RateResult::kUndecided, 1);
  fixture.count("a", RateResult::kUngranted, 2);
  cr_assert(fixture.of("a") == 3);
  cr_assert(fixture.of("") == 50 + CustomerCounters::kMinRefusals - 1);
  const std::string all = "ibismux_customer_rate_requests_total";
  cr_assert(fixture.sum(all, "result", "granted") == 50);
  cr_assert(fixture.sum(all, "result", "ungranted") == 2);
  cr_assert(fixture.sum(all, "result", "refused") ==
            CustomerCounters::kMinRefusals - 1);
  cr_assert(fixture.sum(all, "result", "undecided") == 1);
}

// Guards against counts of a customer that is named like the others' label.
Test(customer_counters, a_customer_may_be_called_other) {
  Fixture fixture;
  fixture.count("other", RateResult::kRefused, CustomerCounters::kMinRefusals);
  fixture.count("a", RateResult::kGranted, 5);
  cr_assert(fixture.of("other") == 1);
}

// Guards against metrics that grow with the number of customers.
Test(customer_counters, the_number_of_customers_with_counters_is_bounded) {
  Fixture fixture;
  for (std::size_t i = 0; i < 2 * CustomerCounters::kMaxCustomers; ++i) {
    fixture.count("c" + std::to_string(i), RateResult::kRefused,
                  CustomerCounters::kMinRefusals);
  }
  cr_assert(fixture.names().size() == CustomerCounters::kMaxCustomers + 1);
  cr_assert(fixture.names().contains("c0"));
}

// Guards against early refusals of many customers that keep a later one from
// counters. The load: more customers than are remembered, each refused once.
Test(customer_counters, many_customers_with_few_refusals_hide_no_other) {
  Fixture fixture;
  for (std::size_t i = 0; i < 3 * CustomerCounters::kMaxNames; ++i) {
    fixture.count("c" + std::to_string(i), RateResult::kRefused, 1);
  }
  cr_assert(fixture.names().size() == 1);
  fixture.count("much", RateResult::kRefused, CustomerCounters::kMinRefusals);
  cr_assert(fixture.of("much") == 1);
}

}  // namespace
}  // namespace ibismux::customers
