#ifndef IBISMUX_ADMISSION_GROUP_TABLE_H_
#define IBISMUX_ADMISSION_GROUP_TABLE_H_

#include <array>
#include <cstddef>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>

#include "ibismux/admission/limit_group.h"

namespace ibismux::admission {

/// The groups by key, at most so many: the one that was used longest ago goes
/// first, but only once it is idle. While the table is full of busy ones, new
/// keys of a policy share one overflow group. So a flood of made-up caller
/// names neither grows the memory nor frees a busy caller from its limit.
///
/// Thread safe.
class GroupTable {
 public:
  explicit GroupTable(std::size_t most) : most_a_stripe(most / kStripes + 1) {}

  /// The group of `policy` for `key`, made if there is none.
  [[nodiscard]] std::shared_ptr<LimitGroup>
  get(const release::LimitPolicy& policy, std::string_view key, TimePoint now);

  [[nodiscard]] std::size_t size();

 private:
  static constexpr std::size_t kStripes = 16;

  struct Entry {
    std::string key;
    std::shared_ptr<LimitGroup> group;
  };
  struct Stripe {
    std::mutex mutex;
    std::list<Entry> entries;  ///< Used last first.
    std::unordered_map<std::string_view, std::list<Entry>::iterator> by_key;
  };

  /// Precondition: the stripe is locked and full.
  static bool evict_one(Stripe& stripe, TimePoint now);

  std::size_t most_a_stripe;
  std::array<Stripe, kStripes> stripes;
};

}  // namespace ibismux::admission

#endif  // IBISMUX_ADMISSION_GROUP_TABLE_H_
