#ifndef IBISMUX_GATEWAY_LEAF_CALL_H_
#define IBISMUX_GATEWAY_LEAF_CALL_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/base/ids.h"
#include "ibismux/base/priority.h"
#include "ibismux/base/time.h"

namespace ibismux::gateway {

/// What a call asks of a leaf. A reservation is not idempotent: it is written
/// to a leaf at most once and never sent again.
enum class LeafCallKind : unsigned char { kQuery, kReservation };

/// Calls of one query (or the one call of a reservation) that share all but
/// their leaf and shard.
struct LeafCallBatch {
  struct Item {
    std::uint64_t sequence = 0;  ///< With `origin`, the call's `CallId`.
    std::string leaf;
    std::string shard;
  };

  std::uint64_t origin = 0;
  LeafCallKind kind = LeafCallKind::kQuery;
  std::string service;
  std::string snapshot;
  Priority priority = Priority::kCatalogue;
  TimePoint deadline;
  std::string key;  ///< Reservations: the idempotency key, or empty.
  std::shared_ptr<const std::string> body;
  std::vector<Item> items;
};

/// How one call ended.
struct LeafAnswer {
  CallId id;
  /// The leaf's answer body, or why there is none. `Execution::kNotRun` here
  /// means that the leaf certainly did not run the call.
  Result<std::string> body;
  /// From the first byte sent to the last received; zero where none was sent.
  Duration leaf_time{};
  /// How long the call waited in the gateway's queue.
  Duration queue_time{};
};

}  // namespace ibismux::gateway

#endif  // IBISMUX_GATEWAY_LEAF_CALL_H_
