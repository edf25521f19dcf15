#ifndef IBISMUX_QUERY_QUERY_ANSWER_H_
#define IBISMUX_QUERY_QUERY_ANSWER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/base/leaf_wait.h"

namespace ibismux::query {

/// A shard whose answer is not in the result, and why.
struct MissingShard {
  std::string shard;
  ErrorKind reason = ErrorKind::kInternal;
};

/// Exactly which shards an answer was drawn from.
struct Coverage {
  std::size_t total = 0;
  std::vector<std::string> contributed;
  std::vector<MissingShard> missing;

  /// 0 to 1; 1 where there are no shards.
  [[nodiscard]] double share() const noexcept {
    return this->total == 0 ? 1.0
                            : static_cast<double>(this->contributed.size()) /
                                  static_cast<double>(this->total);
  }
};

/// One result.
struct Hit {
  std::string id;
  double score = 0;
  std::string text;
  std::string shard;  ///< Whose answer held it.
};

/// The merged result of one query, all of one snapshot.
struct QueryAnswer {
  std::string snapshot;
  Coverage coverage;
  std::vector<Hit> hits;  ///< By falling score, then by id.

  /// What the query cost the leafs.
  std::uint32_t leaf_calls = 0;
  std::uint32_t hedges = 0;
  std::uint32_t retries = 0;
  std::uint32_t restarts = 0;  ///< Whole restarts on a newer snapshot.
  LeafWait leaf_wait;          ///< Of the calls that were merged.
};

}  // namespace ibismux::query

#endif  // IBISMUX_QUERY_QUERY_ANSWER_H_
