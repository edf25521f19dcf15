#ifndef IBISMUX_FEED_MESSAGES_H_
#define IBISMUX_FEED_MESSAGES_H_

#include <map>
#include <string>
#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/base/time.h"
#include "ibismux/store/stored_object.h"

namespace ibismux::feed {

/// What has changed in a collection, or all that it holds.
struct Update {
  std::string collection;
  store::Version since = 0;  ///< Where `whole` is not set: changes after this.
  store::Version version = 0;
  bool whole = false;
  std::vector<store::WatchBatch::Event> events;
};

/// Up to which version of the store each collection is known.
using KnownVersions = std::map<std::string, store::Version, std::less<>>;

/// kFeedPush, and the answer to kFeedPull.
struct PushMessage {
  Duration age{0};  ///< Of the sender's last contact with the store.
  /// For how long the store has answered somebody without a break, as far as
  /// the sender knows; at least `age` where it knows of any answer.
  Duration unbroken{0};
  KnownVersions known;
  std::vector<Update> updates;
};

/// kFeedPull.
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
