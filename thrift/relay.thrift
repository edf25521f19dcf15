/// How releases spread among daemons, and how they report what is in force.
/// docs/PEERS.md describes when each message is sent; docs/design/spread.md
/// why.
namespace cpp ibismux.relay.wire

/// kReleasePush: the sender has this release.
struct Push {
  1: i64 generation
  /// The encoded head; empty where it is too long to send unasked.
  2: binary head
  /// How old the sender's knowledge of the platform is, in milliseconds.
  3: i64 age_ms
}

/// kReleaseFetch: "what is newer than this?", or the contents of chunks and
/// index chunks.
struct FetchRequest {
  /// The generation in force at the asker.
  1: i64 have
  2: list<string> chunks
}

struct FetchAnswer {
  1: i64 generation
  /// Of the release in force; empty where it is not newer.
  2: binary head
  /// Those asked for that the answerer has and that fit in; with a head, or an
  /// index chunk, also those under it that are newer than what the asker has.
  3: map<string, binary> chunks
  4: i64 age_ms
}

/// How many daemons have exactly this generation in force.
struct Tally {
  1: i64 generation
  2: i32 members
}

/// kInForce: a subtree's tallies, to its parent; or a question for the
/// zone's.
struct InForceReport {
  1: bool question
  2: list<Tally> tallies
}

struct InForceAnswer {
  1: list<Tally> tallies
}
