#ifndef IBISMUX_PEER_FORWARD_H_
#define IBISMUX_PEER_FORWARD_H_

namespace ibismux::peer {

enum class MessageKind : unsigned char;
class PeerNetwork;

}  // namespace ibismux::peer

#endif  // IBISMUX_PEER_FORWARD_H_
