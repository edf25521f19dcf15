#ifndef IBISMUX_PLATFORM_FORWARD_H_
#define IBISMUX_PLATFORM_FORWARD_H_

namespace ibismux::platform {

struct HostEntry;
struct StoredObject;
struct WatchBatch;
class ObjectStore;
class HttpObjectStore;

}  // namespace ibismux::platform

#endif  // IBISMUX_PLATFORM_FORWARD_H_
