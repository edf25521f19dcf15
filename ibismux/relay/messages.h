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

/// "This is in force here."
struct PushMessage {
  Generation generation = 0;
  std::string head;  ///< Empty where it is long.
  Duration age{};    ///< Of what the sender knows of the platform.
};

/// "What is newer than `have`?" or, with names, "what is in these chunks?"
struct FetchRequest {
  Generation have = 0;
  std::vector<std::string> chunks;
};

struct FetchAnswer {
  Generation generation = 0;
  std::string head;  ///< Empty: nothing newer.
  std::map<std::string, std::string> chunks;
  Duration age{};
};

/// A subtree's tallies for its parent, or a question for those of the zone.
struct InForceReport {
  bool question = false;
  Tallies tallies;
};

/// @name Thrift forms, as thrift/relay.thrift gives them; thread safe. Reading
/// gives kProtocolError for bytes that are no such message.
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
