#ifndef IBISMUX_GATEWAY_REFUSAL_H_
#define IBISMUX_GATEWAY_REFUSAL_H_

#include <string>

#include "ibismux/base/error.h"
#include "ibismux/gateway/gateway_metrics.h"

namespace ibismux::gateway {

/// The error of a call to `leaf` that was refused for `reason`: not one byte of
/// it was sent. Thread safe.
[[nodiscard]] Error refusal(RefuseReason reason, const std::string& leaf);

}  // namespace ibismux::gateway

#endif  // IBISMUX_GATEWAY_REFUSAL_H_
