#ifndef IBISMUX_CALLER_CALLER_METRICS_H_
#define IBISMUX_CALLER_CALLER_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "ibismux/base/error.h"
#include "ibismux/base/rcu_cell.h"
#include "ibismux/base/time.h"

namespace ibismux::caller {

/// Counts requests and measures how long their answers took, by service and
/// error kind. Thread safe.
class CallerMetrics {
 public:
  /// @param registry Outlives the object.
  explicit CallerMetrics(prometheus::Registry& registry);

  /// @param service Empty where the request named none that exists: a label
  /// made out of any name that callers send would fill the memory.
  /// @param error Nothing where the request succeeded.
  void record(const std::string& service,
              std::optional<ErrorKind> error,
              Duration took);

 private:
  struct Children {
    prometheus::Counter* requests = nullptr;
    prometheus::Histogram* seconds = nullptr;
  };
  using Key = std::pair<std::string, std::string_view>;
  using Table = std::map<Key, Children>;

  [[nodiscard]] Children children(const std::string& service,
                                  std::string_view result);

  prometheus::Family<prometheus::Counter>& requests;
  prometheus::Family<prometheus::Histogram>& seconds;
  std::mutex writers;  ///< Held while an entry is added.
  RcuCell<Table> table;
};

}  // namespace ibismux::caller

#endif  // IBISMUX_CALLER_CALLER_METRICS_H_
