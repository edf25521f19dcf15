#include "ibismux/customers/customer_counters.h"

#include <array>
#include <string_view>

namespace ibismux::customers {

namespace {

// In the order of `RateResult`.
constexpr std::array<std::string_view, kRateResults> kResultNames = {
    "granted", "ungranted", "refused", "undecided"};

std::size_t index(RateResult result) {
  return static_cast<std::size_t>(result);
}

bool is_refusal(RateResult result) {
  return result == RateResult::kRefused || result == RateResult::kUndecided;
}

}  // namespace

CustomerCounters::CustomerCounters(prometheus::Registry& registry)
    : by_result(prometheus::BuildCounter()
                    .Name("ibismux_customer_rate_requests_total")
                    .Help("Requests of customers with a limit, by how it was "
                          "applied.")
                    .Register(registry)),
      by_customer(prometheus::BuildCounter()
                      .Name("ibismux_customer_requests_total")
                      .Help("The same, by customer for those that were refused "
                            "much; all others have no name.")
                      .Register(registry)),
      others(this->add_row(kOthers)) {
  for (std::size_t i = 0; i < kRateResults; ++i) {
    this->all[i] =
        &this->by_result.Add({{"result", std::string(kResultNames[i])}});
  }
}

void CustomerCounters::count(const std::string& customer, RateResult result) {
  this->all[index(result)]->Increment();
  this->row(customer, result)[index(result)]->Increment();
}

CustomerCounters::Row CustomerCounters::add_row(const std::string& customer) {
  Row row;
  for (std::size_t i = 0; i < kRateResults; ++i) {
    row[i] = &this->by_customer.Add(
        {{"customer", customer}, {"result", std::string(kResultNames[i])}});
  }
  return row;
}

const CustomerCounters::Row& CustomerCounters::row(const std::string& customer,
                                                   RateResult result) {
  if (const auto found = this->rows.find(customer); found != this->rows.end()) {
    return found->second;
  }
  if (!is_refusal(result) || this->rows.size() >= kMaxCustomers) {
    return this->others;
  }
  if (this->refusals.size() >= kMaxNames &&
      !this->refusals.contains(customer)) {
    this->refusals.clear();
  }
  if (++this->refusals[customer] < kMinRefusals) {
    return this->others;
  }
  this->refusals.erase(customer);
  const Row& added =
      this->rows.emplace(customer, this->add_row(customer)).first->second;
  if (this->rows.size() >= kMaxCustomers) {
    this->refusals.clear();
  }
  return added;
}

}  // namespace ibismux::customers
