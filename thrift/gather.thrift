/// Messages by which a daemon delegates the gathering of a query over many
/// shards to a peer. docs/design/gathering.md says when and why.
namespace cpp ibismux.gather.wire

/// kGatherOffer, also in answer to kGatherWanted, which has no payload: the sender offers to gather queries for the receiver.
struct Offer {
  /// Increases with each offer during one run of the sender.
  1: i64 sequence
  /// How many more queries the sender takes; 0 withdraws earlier offers.
  2: i32 room
  /// Whether the sender reads `Query.customer`. Absent in older builds.
  3: bool reads_customer
}

struct Field {
  1: string name
  2: string value
}

/// kGatherQuery: a caller's query, to be gathered from all of its shards.
struct Query {
  /// Unique among the queries of one run of the sender.
  1: i64 number
  /// Sequence number of the offer on which the query is sent.
  2: i64 offer
  /// Version of the configuration with which the sender routed the query.
  3: i64 configuration
  4: string request_id
  5: string host
  6: string path
  7: string method
  8: string target
  9: list<Field> fields
  10: binary body
  /// Time since the sender received the query, and time until its caller stops
  /// waiting.
  11: i64 elapsed_us
  12: i64 left_us
  13: bool opens_connection
  /// The customer that sent the query; empty if it was not identified.
  14: string customer
  /// How much of its limit the customer asks for: see `RateReply.usage` of
  /// customers.thrift. Absent in older builds.
  15: double customer_usage
}

/// kGatherTaken, kGatherConfirm and kGatherCancel: each refers to one query
/// between the two daemons.
struct About {
  1: i64 number
}

/// The reply to kGatherQuery.
struct Answer {
  /// False if the query was not taken: no leaf was or will be called.
  1: bool taken
  /// Why it was not taken, for the log.
  2: string reason
  /// Absent if `error_kind` is set.
  3: list<string> receipts
  4: i32 missing_shards
  5: binary records
  /// Empty if the query was answered.
  6: string error_kind
  7: string error_message
  8: bool not_run
  /// Negative if no retry time is given.
  9: i64 retry_after_ms
}
