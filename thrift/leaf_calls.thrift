// Calls to leafs between an entry daemon and a gateway daemon. Thrift compact
// protocol, one struct a frame.

namespace cpp ibismux.gateway.wire

// One call of a batch. With the batch's origin, `sequence` is its call id.
struct CallItem {
  1: i64 sequence
  2: string leaf
  3: string shard
}

// Entry to gateway. `kind` counts as LeafCallKind, `priority` as Priority.
struct LeafCalls {
  1: i64 origin
  2: i8 kind
  3: string query_service
  4: string snapshot
  5: i8 priority
  // What remains of the deadline; clocks of hosts need not agree.
  6: i64 remaining_us
  7: string key
  8: binary body
  9: list<CallItem> items
}

// How one call ended: with a body, or with the stable name of an error kind.
struct CallAnswer {
  1: i64 origin
  2: i64 sequence
  3: optional binary body
  4: optional string error
  5: optional string message
  6: bool not_run
  7: optional i64 retry_after_ms
  8: i64 leaf_us
  9: i64 queue_us
}

// Gateway to entry. Call ids begin with the run of the entry daemon that made
// them, so an answer for an earlier run finds no call.
struct LeafAnswers {
  1: list<CallAnswer> answers
}

struct CancelItem {
  1: i64 origin
  2: i64 sequence
}

// Entry to gateway.
struct LeafCancels {
  1: list<CancelItem> calls
}
