#ifndef IBISMUX_GATHER_MESSAGES_H_
#define IBISMUX_GATHER_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>

#include "ibismux/base/error.h"
#include "ibismux/base/time.h"
#include "ibismux/dispatch/answer.h"
#include "ibismux/dispatch/caller_request.h"

namespace ibismux::gather {

/// Payload of kGatherOffer.
struct GatherOffer {
  std::uint64_t sequence = 0;
  std::size_t room = 0;  ///< How many more queries the sender takes.
  /// Whether the sender reads the customer of a query.
  bool reads_customer = false;
};

/// Payload of kGatherQuery. Times are transmitted as elapsed and remaining
/// durations.
struct GatherQuery {
  std::uint64_t number = 0;         ///< Unique within one run of the sender.
  std::uint64_t offer = 0;          ///< Sequence number of the offer used.
  std::uint64_t configuration = 0;  ///< Version that routed the query.
  dispatch::CallerRequest request;
};

/// The reply to kGatherQuery.
struct GatherAnswer {
  /// Absent if the query was not taken: no leaf was or will be called.
  std::optional<dispatch::Outcome> outcome;
  std::string reason;  ///< Why the query was not taken.
};

/// @name Encoding of frame payloads. Thread safe.
/// @{
[[nodiscard]] std::string encode(const GatherOffer& offer);
[[nodiscard]] std::string encode(const GatherQuery& query, TimePoint now);
[[nodiscard]] std::string encode(const GatherAnswer& answer);
/// Payload of kGatherTaken, kGatherConfirm and kGatherCancel: the number of the
/// query.
[[nodiscard]] std::string encode_query_number(std::uint64_t number);
/// Errors: kProtocolError.
[[nodiscard]] Result<GatherOffer> decode_offer(const std::string& payload);
[[nodiscard]] Result<GatherQuery> decode_query(const std::string& payload,
                                               TimePoint now);
[[nodiscard]] Result<GatherAnswer> decode_answer(const std::string& payload);
[[nodiscard]] Result<std::uint64_t> decode_query_number(
    const std::string& payload);
/// @}

}  // namespace ibismux::gather

#endif  // IBISMUX_GATHER_MESSAGES_H_
