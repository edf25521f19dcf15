#ifndef IBISMUX_DISPATCH_ANSWER_H_
#define IBISMUX_DISPATCH_ANSWER_H_

#include <cstddef>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "ibismux/base/error.h"

namespace ibismux::dispatch {

/// A leaf's own answer, success or failure, to be passed back unchanged.
struct LeafAnswer {
  int status = 0;
  /// As the leaf sent them, those of its connection included.
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;
  std::string receipt;  ///< The leaf's proof that it made this answer.
};

/// The answer to a query over shards.
struct MergedAnswer {
  std::vector<std::string> receipts;  ///< Of the shards that are in.
  std::size_t missing_shards = 0;
  std::string records;  ///< The greatest ones, greatest first.
};

using Answer = std::variant<LeafAnswer, MergedAnswer>;

/// What becomes of a request. An error's `execution` is kNotRun only where no
/// leaf has run it or will.
using Outcome = Result<Answer>;

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_ANSWER_H_
