/// Messages in which daemons relay what they read from the platform's store, so
/// that only a few of them call it. See docs/design/feeds.md.
namespace cpp ibismux.feed.wire

/// One changed object, or its removal.
struct Item {
  1: string name
  2: i64 version
  3: binary value
  4: bool removed
}

/// A collection's changes between two versions of the store, or its complete
/// content.
struct Update {
  1: string collection
  /// The items are the changes after this version. Unused if `whole` is set.
  2: i64 since
  3: i64 version
  4: bool whole
  5: list<Item> items
}

/// The store version up to which the sender knows a collection.
struct Known {
  1: string collection
  2: i64 version
}

/// Payload of kFeedPush and of the response to kFeedPull: updates, and the time
/// since the sender's last contact with the store in milliseconds.
struct Push {
  1: i64 age_ms
  2: list<Known> known
  3: list<Update> updates
  /// For how long the store has answered some daemon without interruption, in
  /// milliseconds, as far as the sender knows.
  4: i64 unbroken_ms
}

/// Payload of kFeedPull: asks for everything newer than these versions.
struct Pull {
  1: list<Known> have
}
