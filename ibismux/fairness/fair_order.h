#ifndef IBISMUX_FAIRNESS_FAIR_ORDER_H_
#define IBISMUX_FAIRNESS_FAIR_ORDER_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "ibismux/fairness/share.h"

namespace ibismux::fairness {

/// The order in which waiting calls of one priority are served: weighted fair
/// queueing by customer. A customer within its share waits as if it were alone,
/// however many calls of others wait.
///
/// Answers the load of one customer whose calls fill the queue of all others.
///
/// Uses no sockets and reads no clock; not thread safe.
class FairOrder {
 public:
  /// A call is served before all calls with greater tags.
  struct Tag {
    double finish = 0;         ///< Virtual time at which its service ends.
    std::uint64_t number = 0;  ///< Order of arrival.

    [[nodiscard]] auto operator<=>(const Tag&) const = default;
  };

  /// Adds a call of `share`.
  [[nodiscard]] Tag enqueue(const Share& share);

  /// Removes a call, because it starts or because nobody waits for it any more.
  /// @param starts Advances the virtual time.
  void remove(const std::string& customer, const Tag& tag, bool starts);

  /// The number of waiting calls that a new call of `share` would wait behind.
  [[nodiscard]] std::size_t count_ahead(const Share& share) const;

 private:
  struct Backlog {
    double last_finish = 0;
    std::size_t waiting = 0;
  };

  [[nodiscard]] double finish_of(const Share& share) const;

  double virtual_time = 0;
  std::uint64_t next_number = 0;
  std::set<Tag> waiting;
  std::map<std::string, Backlog> backlogs;  ///< By customer, of those waiting.
};

}  // namespace ibismux::fairness

#endif  // IBISMUX_FAIRNESS_FAIR_ORDER_H_
