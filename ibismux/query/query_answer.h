#ifndef IBISMUX_QUERY_QUERY_ANSWER_H_
#define IBISMUX_QUERY_QUERY_ANSWER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/base/leaf_wait.h"

namespace ibismux::query {

/// A shard whose answer is not part of the result, and the reason.
struct MissingShard {
  std::string shard;
  ErrorKind reason = ErrorKind::kInternal;
};

/// The shards that contributed to an answer and those that didn't.
struct Coverage {
  std::size_t total = 0;
  std::vector<std::string> contributed;
  std::vector<MissingShard> missing;

  /// Share of shards that contributed, 0 to 1; 1 if there are no shards.
  [[nodiscard]] double share() const noexcept {
    return this->total == 0 ? 1.0
                            : static_cast<double>(this->contributed.size()) /
                                  static_cast<double>(this->total);
  }
};

/// One result item of a query.
struct Hit {
  std::string id;
  double score = 0;
  std::string text;
  std::string shard;  ///< The shard that returned it.
};

/// The merged result of one query. All hits come from one snapshot.
struct QueryAnswer {
  std::string snapshot;
  Coverage coverage;
  std::vector<Hit> hits;  ///< By descending score, then by id.

  /// Load that the query put on the leafs.
  std::uint32_t leaf_calls = 0;
  std::uint32_t hedges = 0;
  std::uint32_t retries = 0;
  std::uint32_t restarts = 0;  ///< Restarts on a newer snapshot.
  LeafWait leaf_wait;          ///< Of the merged calls only.
};

}  // namespace ibismux::query

#endif  // IBISMUX_QUERY_QUERY_ANSWER_H_
