#ifndef IBISMUX_FAIRNESS_FAIR_ORDER_H_
#define IBISMUX_FAIRNESS_FAIR_ORDER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "ibismux/fairness/share.h"

namespace ibismux::fairness {

/// The order in which waiting calls of one priority are served: start-time fair
/// queueing by customer. The first call of a customer is served within the
/// current round, however many calls of other customers wait; customers with
/// many waiting calls are served in proportion to their weights.
///
/// Answers the load of one customer whose calls fill the queue of all others.
/// With a single customer, calls are served in the order of their arrival.
///
/// Uses no sockets and reads no clock; not thread safe.
class FairOrder {
 public:
  /// The place of a call; calls with smaller tags are served before it.
  struct Tag {
    double start = 0;          ///< Virtual time at which its service starts.
    std::uint64_t number = 0;  ///< Order of arrival.

    [[nodiscard]] bool operator<(const Tag& other) const noexcept {
      return this->start != other.start ? this->start < other.start
                                        : this->number < other.number;
    }
  };

  /// Adds a call of `share`. Precondition: the weight is positive and finite.
  [[nodiscard]] Tag enqueue(const Share& share);

  /// The tag that `enqueue()` would return.
  [[nodiscard]] Tag next(const Share& share) const;

  /// The calls that are served before a new call of `share` if other customers
  /// keep sending: those of one round for each call that the customer has
  /// waiting already.
  [[nodiscard]] std::size_t calls_before(const Share& share) const;

  /// A call of `share` has been taken from the queue to be served.
  /// Precondition: it was added and has not left.
  void on_start(const Share& share, const Tag& tag);

  /// A call has left the queue without being served; the customer's later calls
  /// don't pay for it once none of the customer's calls is waiting.
  /// Precondition: as above.
  void on_leave(const Share& share);

  /// No call is waiting any more.
  void on_empty();

 private:
  struct Customer {
    double next_start = 0;    ///< The earliest start of its next call.
    double served_until = 0;  ///< The same without its waiting calls.
    double weight = 1;        ///< Of its newest call.
    std::size_t waiting = 0;
  };

  [[nodiscard]] double start_of(const Share& share) const;
  void remove_one(Customer& customer);
  void forget_idle_customers();

  double virtual_time = 0;
  double active_weight = 0;  ///< Of the customers that have calls waiting.
  std::uint64_t next_number = 0;
  std::map<std::string, Customer> customers;
};

}  // namespace ibismux::fairness

#endif  // IBISMUX_FAIRNESS_FAIR_ORDER_H_
