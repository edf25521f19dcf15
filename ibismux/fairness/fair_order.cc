#include "ibismux/fairness/fair_order.h"

#include <algorithm>
#include <cmath>

namespace ibismux::fairness {

namespace {

// A customer that asks for several times its limit is granted its limit, so its
// calls count no more than this many times.
constexpr double kMaxUsage = 2;
// Above this number of customers, those that have nothing to make up for are
// removed.
constexpr std::size_t kMaxCustomers = 4096;

/// The virtual time that one call takes.
double cost_of(const Share& share) noexcept {
  return std::clamp(share.usage, 1.0, kMaxUsage) / share.weight;
}

}  // namespace

double FairOrder::start_of(const Share& share) const {
  const auto known = this->customers.find(share.customer);
  return known == this->customers.end()
             ? this->virtual_time
             : std::max(this->virtual_time, known->second.next_start);
}

FairOrder::Tag FairOrder::next(const Share& share) const {
  return {this->start_of(share), this->next_number};
}

FairOrder::Tag FairOrder::enqueue(const Share& share) {
  const Tag tag = this->next(share);
  ++this->next_number;
  if (this->customers.size() >= kMaxCustomers &&
      !this->customers.contains(share.customer)) {
    this->forget_idle_customers();
  }
  Customer& customer = this->customers[share.customer];
  if (customer.waiting > 0) {
    this->active_weight -= customer.weight;
  }
  ++customer.waiting;
  customer.weight = share.weight;
  customer.next_start = tag.start + cost_of(share);
  this->active_weight += customer.weight;
  return tag;
}

std::size_t FairOrder::calls_before(const Share& share) const {
  const auto known = this->customers.find(share.customer);
  if (known == this->customers.end() || known->second.waiting == 0) {
    return 0;
  }
  return static_cast<std::size_t>(
      std::floor(static_cast<double>(known->second.waiting) *
                 std::max(1.0, this->active_weight / share.weight)));
}

void FairOrder::on_start(const Share& share, const Tag& tag) {
  // One call is one round's part of the time. Without this, a customer's second
  // call would wait for as long as customers come that have sent none before.
  this->virtual_time = std::max(
      this->virtual_time + 1 / std::max(share.weight, this->active_weight),
      tag.start);
  Customer& customer = this->customers[share.customer];
  customer.served_until = tag.start + cost_of(share);
  this->remove_one(customer);
}

void FairOrder::on_leave(const Share& share) {
  this->remove_one(this->customers[share.customer]);
}

void FairOrder::remove_one(Customer& customer) {
  --customer.waiting;
  if (customer.waiting == 0) {
    this->active_weight -= customer.weight;
    customer.next_start = customer.served_until;
  }
}

void FairOrder::forget_idle_customers() {
  std::erase_if(this->customers, [this](const auto& row) {
    return row.second.waiting == 0 &&
           row.second.next_start <= this->virtual_time;
  });
}

void FairOrder::on_empty() {
  this->virtual_time = 0;
  this->active_weight = 0;
  this->customers.clear();
}

}  // namespace ibismux::fairness
