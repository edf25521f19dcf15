#ifndef IBISMUX_HTTP_FORWARD_H_
#define IBISMUX_HTTP_FORWARD_H_

namespace ibismux::http {

struct Message;
struct Request;
struct Response;
struct ServerLimits;
class CancelToken;
class ClientConnection;
class ClientPool;
class ResponseMemory;
class Server;

}  // namespace ibismux::http

#endif  // IBISMUX_HTTP_FORWARD_H_
