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

/// kGatherOffer.
struct GatherOffer {
  std::uint64_t sequence = 0;
  std::size_t room = 0;  ///< Queries that may be handed over; 0: no more.
};

/// kGatherQuery. Times travel as what has passed and what is left.
struct GatherQuery {
  std::uint64_t number = 0;         ///< Of the sender's own count.
  std::uint64_t offer = 0;          ///< The offer that the sender goes by.
  std::uint64_t configuration = 0;  ///< By which the query was routed.
  dispatch::CallerRequest request;
};

/// The answer to kGatherQuery.
struct GatherAnswer {
  /// Absent: not taken; no leaf was asked, and none will be.
  std::optional<dispatch::Outcome> outcome;
  std::string reason;  ///< Why it was not taken.
};

/// @name Payloads of frames between daemons. Thread safe.
/// @{
[[nodiscard]] std::string encode(const GatherOffer& offer);
[[nodiscard]] std::string encode(const GatherQuery& query, TimePoint now);
[[nodiscard]] std::string encode(const GatherAnswer& answer);
/// kGatherTaken, kGatherConfirm and kGatherCancel: which query they are about.
[[nodiscard]] std::string encode_about(std::uint64_t number);
/// Errors: kProtocolError.
[[nodiscard]] Result<GatherOffer> decode_offer(const std::string& payload);
[[nodiscard]] Result<GatherQuery> decode_query(const std::string& payload,
                                               TimePoint now);
[[nodiscard]] Result<GatherAnswer> decode_answer(const std::string& payload);
[[nodiscard]] Result<std::uint64_t> decode_about(const std::string& payload);
/// @}

}  // namespace ibismux::gather

#endif  // IBISMUX_GATHER_MESSAGES_H_
