/// What daemons tell each other about the fleet. docs/PEERS.md describes when
/// each message is sent; docs/design/membership.md why.
namespace cpp ibismux.membership.wire

/// What one daemon says of another, or of itself.
struct Record {
  1: string name
  2: i64 incarnation
  /// Rises with each statement of the member about itself.
  3: i64 epoch
  4: string address
  5: i32 port
  6: string zone
  /// 0 alive, 1 suspect, 2 leaving, 3 failed.
  7: i32 state
  /// Width of the member's link, in Mbit/s; 0: not known.
  8: double link_mbps
}

/// kGossip: changes, new to the sender.
struct Gossip {
  1: list<Record> records
}

/// kProbe. The first fields are all that an ordinary probe carries.
struct Probe {
  /// Digest of the sender's table.
  1: i64 digest
  /// The epoch in which the sender is, and that in which it takes the target
  /// to be; 0: it doesn't know the target.
  2: i64 sender_epoch
  3: i64 target_epoch
  4: bool suspected
  5: list<Record> records
  /// To pull what differs: the digest of each bucket, and where to begin.
  6: list<i64> buckets
  7: i32 first_bucket
}

struct ProbeAnswer {
  1: i64 digest
  2: list<Record> records
  /// The target doesn't know the sender as it is now.
  3: bool send_yours
  /// Where to go on pulling; negative: that was all.
  4: i32 next_bucket
}

/// kIndirectProbe: "is this member there for you?"
struct IndirectProbe {
  1: string target
}

struct IndirectAnswer {
  1: bool reached
}
