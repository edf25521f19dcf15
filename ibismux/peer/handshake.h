#ifndef IBISMUX_PEER_HANDSHAKE_H_
#define IBISMUX_PEER_HANDSHAKE_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "ibismux/base/error.h"
#include "ibismux/base/ids.h"
#include "ibismux/base/task.h"
#include "ibismux/base/time.h"
#include "ibismux/peer/frame.h"

namespace ibismux::peer {

/// What a daemon says of itself when a connection opens.
struct Introduction {
  std::int32_t version = kProtocolVersion;
  std::string cluster;
  Incarnation self;
  std::string zone;
  std::string refusal;  ///< Empty where the sender accepts the connection.
};

/// Why a daemon that says `ours` refuses one that says `theirs`; empty where
/// it accepts. Thread safe.
[[nodiscard]] std::string reason_to_refuse(const Introduction& ours,
                                           const Introduction& theirs);

/// Writes `introduction` as the first frame.
[[nodiscard]] Task<Result<void>> send_introduction(
    boost::asio::ip::tcp::socket& socket,
    Introduction introduction);

/// Reads the first frame and not a byte more. A frame that isn't a hello, or
/// is too long for one, is kProtocolError before anything is allocated for it.
/// Waits for ever: the caller closes the socket at its deadline.
[[nodiscard]] Task<Result<Introduction>> read_introduction(
    boost::asio::ip::tcp::socket& socket);

}  // namespace ibismux::peer

#endif  // IBISMUX_PEER_HANDSHAKE_H_
