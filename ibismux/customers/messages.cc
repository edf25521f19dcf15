#include "ibismux/customers/messages.h"

#include <cmath>
#include <utility>

#include "ibismux/customers/gen/customers_types.h"
#include "ibismux/peer/thrift_codec.h"

namespace ibismux::customers {

namespace {

using std::chrono::microseconds;

// No customer waits longer; a reply with a longer time is corrupt.
constexpr std::int64_t kMaxRetryAfterUs = 3'600'000'000;

}  // namespace

std::string encode(const RateRequest& request) {
  wire::RateRequest out;
  out.__set_customer(request.customer);
  out.__set_configuration(static_cast<std::int64_t>(request.configuration));
  out.__set_per_second(request.limit.per_second);
  out.__set_burst(request.limit.burst);
  out.__set_is_late(request.is_late);
  return peer::encode(out);
}

std::string encode(const RateReply& reply) {
  wire::RateReply out;
  out.__set_is_owner(reply.is_owner);
  out.__set_granted(reply.granted);
  out.__set_retry_after_us(
      std::chrono::ceil<microseconds>(reply.retry_after).count());
  out.__set_usage(reply.usage);
  return peer::encode(out);
}

Result<RateRequest> decode_rate_request(const std::string& payload) {
  auto in = peer::decode<wire::RateRequest>(payload);
  if (!in) {
    return tl::unexpected(std::move(in.error()));
  }
  if (!std::isfinite(in->per_second) || in->per_second <= 0 ||
      !std::isfinite(in->burst) || in->burst < 0) {
    return fail(ErrorKind::kProtocolError, "the limit is out of range");
  }
  return RateRequest{std::move(in->customer),
                     static_cast<std::uint64_t>(in->configuration),
                     {in->per_second, in->burst},
                     in->is_late};
}

Result<RateReply> decode_rate_reply(const std::string& payload) {
  const auto in = peer::decode<wire::RateReply>(payload);
  if (!in) {
    return tl::unexpected(in.error());
  }
  if (in->retry_after_us < 0 || in->retry_after_us > kMaxRetryAfterUs) {
    return fail(ErrorKind::kProtocolError, "a time is out of range");
  }
  if (!std::isfinite(in->usage) || in->usage < 0) {
    return fail(ErrorKind::kProtocolError, "the usage is out of range");
  }
  return RateReply{in->is_owner, in->granted, microseconds(in->retry_after_us),
                   in->usage};
}

}  // namespace ibismux::customers
