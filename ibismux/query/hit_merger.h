#ifndef IBISMUX_QUERY_HIT_MERGER_H_
#define IBISMUX_QUERY_HIT_MERGER_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "ibismux/query/hit_reader.h"
#include "ibismux/query/query_answer.h"

namespace ibismux::query {

/// Keeps the best hits of many leaf answers.
///
/// Not thread safe; belongs to one query.
class HitMerger {
 public:
  /// @param most How many hits are kept.
  explicit HitMerger(std::size_t most) : most(most) {}

  /// Takes in the hits of `body`, a leaf's answer as docs/LEAFS.md gives it.
  /// @return False, with nothing taken in, if the body is malformed.
  [[nodiscard]] bool merge(std::string_view body, const std::string& shard);

  /// Forgets every hit: the query starts again on another snapshot.
  void clear() noexcept { this->heap.clear(); }

  /// The hits by falling score, then by id; leaves the merger empty.
  [[nodiscard]] std::vector<Hit> take();

 private:
  std::size_t most;
  HitReader reader;
  std::vector<Hit> heap;  ///< A heap whose front is the worst hit kept.
};

}  // namespace ibismux::query

#endif  // IBISMUX_QUERY_HIT_MERGER_H_
