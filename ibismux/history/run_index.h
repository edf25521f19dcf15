#ifndef IBISMUX_HISTORY_RUN_INDEX_H_
#define IBISMUX_HISTORY_RUN_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "ibismux/history/history_record.h"

namespace ibismux::history {

/// What the leafs ran of queries, at 8 bytes a run: millions fit.
///
/// Fill it with watch() and add(), then seal(), then ask. Not thread safe.
class RunIndex {
 public:
  /// Keeps the times of this body's runs too. Before the runs are added.
  void watch(std::string_view body_hash);
  void add(const RunRecord& run);
  void seal();

  /// Whether a leaf answered this body for this shard of this snapshot.
  [[nodiscard]] bool answered(std::string_view body_hash,
                              std::string_view snapshot,
                              std::string_view shard) const;
  /// When runs of a watched body began.
  [[nodiscard]] const std::vector<Instant>& begins(
      std::string_view body_hash) const;
  [[nodiscard]] std::size_t size() const noexcept { return this->runs; }

 private:
  std::size_t runs = 0;
  std::vector<std::uint64_t> answers;  ///< Hashes; sorted by seal().
  std::unordered_map<std::uint64_t, std::vector<Instant>> watched;
};

}  // namespace ibismux::history

#endif  // IBISMUX_HISTORY_RUN_INDEX_H_
