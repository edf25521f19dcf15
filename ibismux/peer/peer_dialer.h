#ifndef IBISMUX_PEER_PEER_DIALER_H_
#define IBISMUX_PEER_PEER_DIALER_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "ibismux/base/error.h"
#include "ibismux/base/task.h"

namespace ibismux::peer {

class PeerConnection;
class PeerContext;

/// Opens a connection to `member` on `loop`, greets, and checks who answers.
/// kPeerUnavailable if that fails or takes too long. Runs on `loop`, which
/// outlives it.
[[nodiscard]] Task<Result<std::shared_ptr<PeerConnection>>> dial_peer(
    std::string member,
    boost::asio::io_context& loop,
    std::shared_ptr<PeerContext> context);

}  // namespace ibismux::peer

#endif  // IBISMUX_PEER_PEER_DIALER_H_
