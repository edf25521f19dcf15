#include "ibismux/customers/customer_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ibismux::customers {

namespace {

constexpr std::size_t kMaxNameBytes = 256;
constexpr double kMaxRequests = 1e9;

/// Whether leafs can be sent `name` in a header field.
bool is_usable_name(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameBytes && name.front() != ' ' &&
         name.back() != ' ' &&
         std::all_of(name.begin(), name.end(),
                     [](unsigned char c) { return c >= ' ' && c != 0x7f; });
}

bool is_plausible(double requests) {
  return std::isfinite(requests) && requests >= 0 && requests <= kMaxRequests;
}

}  // namespace

CustomerTable::CustomerTable(KeyHasher hasher,
                             std::vector<Entry> entries,
                             std::size_t odd)
    : hasher(std::move(hasher)), odd(odd) {
  for (Entry& entry : entries) {
    this->add(std::move(entry));
  }
  double total = 0;
  std::size_t limited = 0;
  for (const auto& [name, customer] : this->by_name) {
    total += customer.limit.per_second;
    limited += customer.limit.is_limited() ? 1 : 0;
  }
  this->mean_limit = limited > 0 ? total / static_cast<double>(limited) : 1;
}

void CustomerTable::add(Entry entry) {
  Customer customer = std::move(entry.customer);
  if (!is_usable_name(customer.name) || this->by_name.contains(customer.name)) {
    ++this->odd;
    return;
  }
  if (!is_plausible(customer.limit.per_second) ||
      !is_plausible(customer.limit.burst)) {
    ++this->odd;
    customer.limit = {};
  }
  const std::string name = customer.name;
  const Customer* stored =
      &this->by_name.emplace(name, std::move(customer)).first->second;
  for (const KeyDigest& key : entry.keys) {
    const auto [row, is_new] = this->by_key.emplace(key, stored);
    if (!is_new && row->second != stored) {
      ++this->odd;
      row->second = nullptr;
    }
  }
}

const Customer* CustomerTable::find_by_key(std::string_view key) const {
  const auto found = this->by_key.find(this->hasher.digest(key));
  return found == this->by_key.end() ? nullptr : found->second;
}

const Customer* CustomerTable::find_by_name(std::string_view name) const {
  const auto found = this->by_name.find(name);
  return found == this->by_name.end() ? nullptr : &found->second;
}

}  // namespace ibismux::customers
