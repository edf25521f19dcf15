#ifndef IBISMUX_GATEWAY_LEAF_CALLS_CODEC_H_
#define IBISMUX_GATEWAY_LEAF_CALLS_CODEC_H_

#include <string>
#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/base/time.h"
#include "ibismux/gateway/leaf_call.h"

namespace ibismux::gateway {

/// Frames between entry and gateway (thrift/leaf_calls.thrift). Decoding never
/// throws; what makes no sense is kProtocolError. All are thread safe.
/// @{

/// The deadline travels as what remains of it at `now`.
[[nodiscard]] std::string encode_calls(const LeafCallBatch& batch,
                                       TimePoint now);
[[nodiscard]] Result<LeafCallBatch> decode_calls(const std::string& frame,
                                                 TimePoint now);

[[nodiscard]] std::string encode_answers(
    const std::vector<LeafAnswer>& answers);
[[nodiscard]] Result<std::vector<LeafAnswer>> decode_answers(
    const std::string& frame);

[[nodiscard]] std::string encode_cancels(const std::vector<CallId>& calls);
[[nodiscard]] Result<std::vector<CallId>> decode_cancels(
    const std::string& frame);
/// @}

}  // namespace ibismux::gateway

#endif  // IBISMUX_GATEWAY_LEAF_CALLS_CODEC_H_
