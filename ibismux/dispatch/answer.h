#ifndef IBISMUX_DISPATCH_ANSWER_H_
#define IBISMUX_DISPATCH_ANSWER_H_

#include <cstddef>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "ibismux/base/error.h"

namespace ibismux::dispatch {

/// The answer of one leaf, success or failure, returned to the caller
/// unchanged.
struct LeafAnswer {
  int status = 0;
  /// The header fields as received from the leaf, including those that concern
  /// only its connection.
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;
  std::string receipt;  ///< The leaf's proof that it produced this answer.
};

/// The answer to a query over shards.
struct MergedAnswer {
  std::vector<std::string> receipts;  ///< Of the shards in the answer.
  std::size_t missing_shards = 0;
  std::string records;  ///< The largest records, in descending order.
};

using Answer = std::variant<LeafAnswer, MergedAnswer>;

/// The outcome of a request. An error has `execution` kNotRun only if no leaf
/// has run the request and none will.
using Outcome = Result<Answer>;

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_ANSWER_H_
