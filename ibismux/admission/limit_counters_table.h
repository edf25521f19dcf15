#ifndef IBISMUX_ADMISSION_LIMIT_COUNTERS_TABLE_H_
#define IBISMUX_ADMISSION_LIMIT_COUNTERS_TABLE_H_

#include <array>
#include <cstddef>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>

#include "ibismux/admission/limit_counters.h"

namespace ibismux::admission {

/// Bounded table of limit counters by policy and key. When a part of the table
/// is full, one of its least recently used entries is evicted if it is idle. If
/// none of the candidates is idle, new keys of a policy share one overflow
/// entry. A flood of made-up caller names thus neither grows memory without
/// bound nor resets the counters of a caller that is being limited.
///
/// Thread safe.
class LimitCountersTable {
 public:
  explicit LimitCountersTable(std::size_t max_size)
      : max_per_stripe(max_size / kStripes + 1) {}

  /// The counters of `policy` for `key`; created if there are none.
  [[nodiscard]] std::shared_ptr<LimitCounters>
  get(const release::LimitPolicy& policy, std::string_view key, TimePoint now);

  [[nodiscard]] std::size_t size();

 private:
  static constexpr std::size_t kStripes = 16;

  struct Entry {
    std::string key;
    std::shared_ptr<LimitCounters> counters;
  };
  struct Stripe {
    std::mutex mutex;
    std::list<Entry> entries;  ///< Most recently used first.
    std::unordered_map<std::string_view, std::list<Entry>::iterator> by_key;
  };

  /// Evicts an idle entry; returns false if it found none. Precondition: the
  /// stripe is locked and full.
  static bool evict_one(Stripe& stripe, TimePoint now);

  std::size_t max_per_stripe;
  std::array<Stripe, kStripes> stripes;
};

}  // namespace ibismux::admission

#endif  // IBISMUX_ADMISSION_LIMIT_COUNTERS_TABLE_H_
