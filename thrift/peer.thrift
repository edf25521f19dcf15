/// The handshake between daemons and the errors that a response may carry.
/// docs/PEERS.md describes the frames around them.
namespace cpp ibismux.peer.wire

/// The first frame of each side of a connection.
struct Hello {
  1: i32 version
  2: string cluster
  3: string member
  4: i64 incarnation
  5: string zone
  /// Why the sender refuses this connection; empty where it accepts.
  6: string refusal
}

/// The payload of a response that failed.
struct ErrorMessage {
  1: i32 kind
  2: string message
  3: bool not_run
  /// Milliseconds; negative where coming back won't help.
  4: i64 retry_after_ms
}
