#ifndef APPS_IBISMUX_LOAD_ANSWER_CHECK_H_
#define APPS_IBISMUX_LOAD_ANSWER_CHECK_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "ibismux/http/message.h"

namespace ibismux::load {

/// What an answer says, in the words of docs/CALLERS.md.
struct AnswerFacts {
  int status = 0;         ///< 0: cut before an answer.
  std::string error;      ///< Kind of the refusal.
  std::string execution;  ///< "not_run" or "unknown", of a refusal.
  std::string snapshot;
  std::uint64_t shards = 0;
  std::uint64_t contributed = 0;
  std::uint64_t leaf_calls = 0;
  std::uint64_t hedges = 0;
  std::uint64_t retries = 0;
  std::uint64_t restarts = 0;
  std::string state;   ///< Of a reservation.
  std::string result;  ///< Of a reservation.
  bool repeat = false;
  std::int64_t retry_after_ms = -1;  ///< -1: not said.
  /// A part of another request, snapshot or shard is in the answer.
  bool foreign = false;
  boost::json::object body;
};

/// 16 hexadecimal digits of XXH3-64.
[[nodiscard]] std::string body_hash(std::string_view body);

/// Reads a daemon's answer to a request whose body has the hash `hash`.
[[nodiscard]] AnswerFacts read_answer(const http::Response& response,
                                      const std::string& hash);

}  // namespace ibismux::load

#endif  // APPS_IBISMUX_LOAD_ANSWER_CHECK_H_
