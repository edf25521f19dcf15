/// How daemons pass on what they read from the platform's store.
/// docs/design/feeds.md says why.
namespace cpp ibismux.feed.wire

/// One object, or its removal.
struct Item {
  1: string name
  2: i64 version
  3: binary value
  4: bool removed
}

/// A collection's changes between two versions of the store, or all of it.
struct Update {
  1: string collection
  /// Changes after this version; not used where `whole` is set.
  2: i64 since
  3: i64 version
  4: bool whole
  5: list<Item> items
}

/// Up to which version the sender knows a collection.
struct Known {
  1: string collection
  2: i64 version
}

/// kFeedPush, and the answer to kFeedPull: updates, and how old the sender's last
/// contact with the store is, in milliseconds.
struct Push {
  1: i64 age_ms
  2: list<Known> known
  3: list<Update> updates
  /// For how long the store has answered somebody without a break, in
  /// milliseconds, as far as the sender knows.
  4: i64 unbroken_ms
}

/// kFeedPull: "what is newer than this?"
struct Pull {
  1: list<Known> have
}
