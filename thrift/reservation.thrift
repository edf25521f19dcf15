// Reservation keys: what a bucket holds in the platform, and what daemons ask
// each other about keys and tickets. docs/design/reservations.md explains both.

namespace cpp ibismux.reservation.gen

struct Executor {
  1: string member,
  2: i64 incarnation,
}

// One key. The numbers of `state` are those of RecordState.
struct Record {
  1: i64 key_high,
  2: i64 key_low,
  3: i64 body_hash,
  4: i64 claim_high,
  5: i64 claim_low,
  6: i8 state,
  7: i32 executor,   // Position in the list beside; -1: none.
  8: i64 created_s,  // Wall-clock time since 1970.
  9: string shard,
  10: binary result,
}

struct SegmentRef {
  1: string name,
  2: i64 sequence,  // Of two records of one key the higher segment's holds.
  3: i64 newest_s,  // Creation time of its newest record.
}

// Value of the object "bucket-N".
struct Head {
  1: list<Executor> executors,
  2: list<Record> records,
  3: list<SegmentRef> segments,
  4: i64 next_sequence,
}

// Value of an immutable segment object.
struct Segment {
  1: list<Executor> executors,
  2: list<Record> records,
}

// kClaim and kRecord: one operation for the owner of the key's bucket. The
// numbers of `kind` are those of OperationKind.
struct Operation {
  1: i8 kind,
  2: Record record,
  3: Executor executor,
  4: i64 remaining_ms,
}

struct Verdict {
  1: i8 kind,
  2: Record record,
  3: Executor executor,
}

// kAskKey: to the executor of a claim, or to the issuer of a ticket.
struct Question {
  1: i64 claim_high,
  2: i64 claim_low,
  3: string ticket,  // Where set, the claim is unused.
}

struct ClaimStatus {
  1: i64 incarnation,
  2: bool live,
}

// kTicketRun: to the issuer of the ticket.
struct TicketRun {
  1: string request_id,
  2: string service_name,
  3: string caller,
  4: string item,
  5: string ticket,
  6: binary body,
  7: i64 remaining_ms,
}

// The answer of a reservation or of a question about a ticket.
struct Reply {
  1: i8 state,  // Of KeyState, where `error` is empty.
  2: string shard,
  3: binary body,
  4: bool repeat,
  5: string error,  // Stable name of an ErrorKind.
  6: string message,
  7: bool not_run,
  8: i64 retry_after_ms,  // 0: none.
}
