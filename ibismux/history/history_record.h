#ifndef IBISMUX_HISTORY_HISTORY_RECORD_H_
#define IBISMUX_HISTORY_HISTORY_RECORD_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace ibismux::history {

/// Times of a history: of the host's monotonic clock.
using Instant = std::chrono::microseconds;

/// What a caller sent and got; common to queries and reservations.
struct Exchange {
  std::string request_id;
  std::string service;
  std::string body_hash;
  Instant sent{};
  Instant done{};
  int status = 0;  ///< 0: no answer came.
  std::string error;
  std::string execution;

  /// Whether the system, not the caller's own socket, said "not run".
  [[nodiscard]] bool says_not_run() const {
    return this->status != 0 && this->execution == "not_run";
  }
  /// Whether the request was cut: sent, and never answered.
  [[nodiscard]] bool was_cut() const {
    return this->status == 0 && this->execution != "not_run";
  }
};

struct QueryRecord {
  struct Hit {
    std::string id;
    std::string shard;
    std::string text;
  };
  Exchange exchange;
  std::string snapshot;
  std::uint64_t total = 0;
  std::vector<std::string> contributed;
  std::vector<std::string> missing;
  std::vector<Hit> hits;
};

struct ReservationRecord {
  Exchange exchange;
  std::string key;
  std::string state;
  std::string result;
};

/// One execution by a leaf.
struct RunRecord {
  std::string leaf;
  bool reservation = false;
  std::string call_id;
  std::string shard;
  std::string snapshot;
  std::string key;
  std::string body_hash;
  Instant begin{};
  Instant end{};
  std::string done;
};

/// A leaf begins to leave, or serves again.
struct LeafStateRecord {
  std::string leaf;
  bool leaving = true;
  Instant at{};
};

/// A change was accepted in a generation.
struct AcceptedRecord {
  std::string change_id;
  std::uint64_t generation = 0;
  Instant at{};
};

/// A daemon was seen with a generation in force.
struct InForceRecord {
  std::string member;
  std::string incarnation;
  std::uint64_t generation = 0;
  Instant at{};
};

/// A type that the checker has no rule for.
struct OtherRecord {};

using HistoryRecord = std::variant<QueryRecord,
                                   ReservationRecord,
                                   RunRecord,
                                   LeafStateRecord,
                                   AcceptedRecord,
                                   InForceRecord,
                                   OtherRecord>;

}  // namespace ibismux::history

#endif  // IBISMUX_HISTORY_HISTORY_RECORD_H_
