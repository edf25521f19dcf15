#ifndef IBISMUX_BACKEND_FORWARD_H_
#define IBISMUX_BACKEND_FORWARD_H_

namespace ibismux::backend {

enum class LeafSignal : unsigned char;
struct LeafHealth;
struct LeafReply;
struct LeafRequest;
class LeafConnection;

}  // namespace ibismux::backend

#endif  // IBISMUX_BACKEND_FORWARD_H_
