#ifndef IBISMUX_QUERY_HIT_MERGER_H_
#define IBISMUX_QUERY_HIT_MERGER_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "ibismux/query/hit_reader.h"
#include "ibismux/query/query_answer.h"

namespace ibismux::query {

/// Merges the hits of many leaf answers and keeps the best ones.
///
/// Not thread safe; belongs to one query.
class HitMerger {
 public:
  /// @param most_hits The most hits to keep.
  explicit HitMerger(std::size_t most_hits) : most_hits(most_hits) {}

  /// Merges the hits of `body`, a leaf's answer in the format of docs/LEAFS.md.
  /// @return False if the body is malformed; then no hit is merged.
  [[nodiscard]] bool merge(std::string_view body, const std::string& shard);

  /// Discards all hits. Used when the query restarts on another snapshot.
  void clear() noexcept { this->heap.clear(); }

  /// Returns the hits by descending score, then by id. Leaves the merger empty.
  [[nodiscard]] std::vector<Hit> take();

 private:
  std::size_t most_hits;
  HitReader reader;
  std::vector<Hit> heap;  ///< Heap with the worst kept hit at the front.
};

}  // namespace ibismux::query

#endif  // IBISMUX_QUERY_HIT_MERGER_H_
