/// Messages by which daemons distribute releases and report which generation is
/// in force. docs/PEERS.md describes when each message is sent;
/// docs/design/spread.md gives the rationale.
namespace cpp ibismux.relay.wire

/// kReleasePush: announces the release in force at the sender.
struct Push {
  1: i64 generation
  /// The encoded head; empty if it is too long to push.
  2: binary head
  /// Age of the sender's knowledge of the platform, in milliseconds.
  3: i64 age_ms
}

/// kReleaseFetch: requests a release newer than `have` or, if `chunks` is not
/// empty, the contents of these chunks and index chunks.
struct FetchRequest {
  /// The generation in force at the requester.
  1: i64 have
  2: list<string> chunks
}

struct FetchAnswer {
  1: i64 generation
  /// The encoded head of the release in force; empty if it is not newer.
  2: binary head
  /// The requested chunks that the responder has and that fit into the answer.
  /// With a head or an index chunk, also the chunks under it that were written
  /// after `have` of the request.
  3: map<string, binary> chunks
  4: i64 age_ms
}

/// How many daemons have exactly this generation in force.
struct Tally {
  1: i64 generation
  2: i32 members
}

/// kInForce: reports a subtree's tallies to its parent or, if `question` is
/// set, asks the first member of a zone for the tallies of the zone.
struct InForceReport {
  1: bool question
  2: list<Tally> tallies
}

struct InForceAnswer {
  1: list<Tally> tallies
}
