/// How a daemon has a query over many shards gathered by a peer.
/// docs/design/gathering.md says when and why.
namespace cpp ibismux.gather.wire

/// kGatherOffer: the sender gathers queries for the receiver.
struct Offer {
  /// Rises with each offer of one run of the sender.
  1: i64 sequence
  /// How many queries more it may take now; 0 withdraws former offers.
  2: i32 room
}

struct Field {
  1: string name
  2: string value
}

/// kGatherQuery: a caller's query, to be gathered whole.
struct Query {
  /// Tells the queries of one run of the sender apart.
  1: i64 number
  /// The offer that the sender goes by.
  2: i64 offer
  /// Of the configuration by which the sender found the query's route.
  3: i64 configuration
  4: string request_id
  5: string host
  6: string path
  7: string method
  8: string target
  9: list<Field> fields
  10: binary body
  /// Since the query reached the sender, and until its caller stops waiting.
  11: i64 elapsed_us
  12: i64 left_us
  13: bool opens_connection
}

/// kGatherTaken, kGatherConfirm and kGatherCancel, each about one query of the pair.
struct About {
  1: i64 number
}

/// The answer to kGatherQuery.
struct Answer {
  /// Not taken: no leaf was asked, and none will be.
  1: bool taken
  /// Why it was not taken, for the log.
  2: string reason
  /// Absent where `error_kind` is set.
  3: list<string> receipts
  4: i32 missing_shards
  5: binary records
  /// Empty: the query was answered.
  6: string error_kind
  7: string error_message
  8: bool not_run
  /// Negative: none is given.
  9: i64 retry_after_ms
}
