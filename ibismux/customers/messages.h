#ifndef IBISMUX_CUSTOMERS_MESSAGES_H_
#define IBISMUX_CUSTOMERS_MESSAGES_H_

#include <cstdint>
#include <string>

#include "ibismux/base/error.h"
#include "ibismux/base/time.h"
#include "ibismux/customers/rate_limit.h"

namespace ibismux::customers {

/// Payload of kRateRequest.
struct RateRequest {
  std::string customer;
  std::uint64_t configuration = 0;  ///< The version that states `limit`.
  RateLimit limit;
  /// See `RateCheck`.
  bool is_late = false;
};

/// The reply to kRateRequest.
struct RateReply {
  /// Whether the sender owns a part of the limit.
  bool is_owner = false;
  bool granted = false;
  Duration retry_after{0};  ///< If it owns a part and has refused.
  /// If it owns a part; see `RateGrant`.
  double usage = 0;
};

/// @name Encoding of frame payloads. Thread safe.
/// @{
[[nodiscard]] std::string encode(const RateRequest& request);
[[nodiscard]] std::string encode(const RateReply& reply);
/// Errors: kProtocolError.
[[nodiscard]] Result<RateRequest> decode_rate_request(
    const std::string& payload);
[[nodiscard]] Result<RateReply> decode_rate_reply(const std::string& payload);
/// @}

}  // namespace ibismux::customers

#endif  // IBISMUX_CUSTOMERS_MESSAGES_H_
