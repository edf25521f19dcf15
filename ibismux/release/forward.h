#ifndef IBISMUX_RELEASE_FORWARD_H_
#define IBISMUX_RELEASE_FORWARD_H_

namespace ibismux::release {

struct BackendServer;
struct LimitPolicy;
struct QueryService;
struct Release;
struct ServiceView;
struct Shard;
struct ShardView;
struct Snapshot;
struct SnapshotView;

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_FORWARD_H_
