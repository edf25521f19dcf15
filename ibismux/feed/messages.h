#ifndef IBISMUX_FEED_MESSAGES_H_
#define IBISMUX_FEED_MESSAGES_H_

#include <map>
#include <string>
#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/base/time.h"
#include "ibismux/store/stored_object.h"

namespace ibismux::feed {

/// Changes of a collection, or its complete content.
struct Update {
  std::string collection;
  /// The events are the changes after this version. Unused if `whole` is set.
  store::Version since = 0;
  store::Version version = 0;
  bool whole = false;
  std::vector<store::WatchBatch::Event> events;
};

/// The store version up to which each collection is known.
using KnownVersions = std::map<std::string, store::Version, std::less<>>;

/// Payload of kFeedPush and of the response to kFeedPull.
struct PushMessage {
  Duration age{0};  ///< Time since the sender's last contact with the store.
  /// For how long the store has answered some daemon without interruption, as
  /// far as the sender knows; at least `age` if it knows of any answer.
  Duration available_for{0};
  KnownVersions known;
  std::vector<Update> updates;
};

/// Payload of kFeedPull: the versions that the sender has.
struct PullMessage {
  KnownVersions have;
};

/// @name Payloads of frames between daemons. Thread safe.
/// @{
[[nodiscard]] std::string encode(const PushMessage& message);
[[nodiscard]] std::string encode(const PullMessage& message);
/// Errors: kProtocolError.
[[nodiscard]] Result<PushMessage> decode_push(const std::string& payload);
[[nodiscard]] Result<PullMessage> decode_pull(const std::string& payload);
/// @}

}  // namespace ibismux::feed

#endif  // IBISMUX_FEED_MESSAGES_H_
