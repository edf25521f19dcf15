#ifndef IBISMUX_PEER_ERROR_MESSAGE_H_
#define IBISMUX_PEER_ERROR_MESSAGE_H_

#include <string>

#include "ibismux/base/error.h"

namespace ibismux::peer {

/// `error` as the payload of a failed response. Thread safe.
[[nodiscard]] std::string encode_error(const Error& error);

/// The error that a failed response carries; a kProtocolError with unknown
/// execution where it can't be read. Thread safe.
[[nodiscard]] Error decode_error(const std::string& payload);

}  // namespace ibismux::peer

#endif  // IBISMUX_PEER_ERROR_MESSAGE_H_
