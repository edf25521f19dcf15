#ifndef IBISMUX_RELAY_MESSAGES_H_
#define IBISMUX_RELAY_MESSAGES_H_

#include <map>
#include <string>
#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/base/ids.h"
#include "ibismux/base/time.h"
#include "ibismux/relay/tallies.h"

namespace ibismux::relay {

/// Announces the release in force at the sender.
struct PushMessage {
  Generation generation = 0;
  std::string head;  ///< Encoded; empty if it is too long to push.
  Duration age{};    ///< Age of the sender's knowledge of the platform.
};

/// Requests the release newer than `have` or, if `chunks` is not empty, the
/// contents of the chunks with these names.
struct FetchRequest {
  Generation have = 0;
  std::vector<std::string> chunks;
};

struct FetchAnswer {
  Generation generation = 0;
  std::string head;  ///< Empty if there is no newer release.
  std::map<std::string, std::string> chunks;
  Duration age{};
};

/// Reports a subtree's tallies to its parent or, if `question` is set, asks the
/// first member of a zone for the tallies of the zone.
struct InForceReport {
  bool question = false;
  Tallies tallies;
};

/// @name Thrift encoding as defined in thrift/relay.thrift. Thread safe.
/// Decoding returns kProtocolError if the bytes are not a valid message.
/// @{
[[nodiscard]] std::string encode(const PushMessage& message);
[[nodiscard]] std::string encode(const FetchRequest& request);
[[nodiscard]] std::string encode(const FetchAnswer& answer);
[[nodiscard]] std::string encode(const InForceReport& report);
[[nodiscard]] std::string encode_in_force_answer(const Tallies& tallies);
[[nodiscard]] Result<PushMessage> decode_push(const std::string& bytes);
[[nodiscard]] Result<FetchRequest> decode_fetch_request(
    const std::string& bytes);
[[nodiscard]] Result<FetchAnswer> decode_fetch_answer(const std::string& bytes);
[[nodiscard]] Result<InForceReport> decode_report(const std::string& bytes);
[[nodiscard]] Result<Tallies> decode_in_force_answer(const std::string& bytes);
/// @}

}  // namespace ibismux::relay

#endif  // IBISMUX_RELAY_MESSAGES_H_
