#ifndef IBISMUX_RELEASE_FORWARD_H_
#define IBISMUX_RELEASE_FORWARD_H_

namespace ibismux::release {

struct AcceptedObject;
struct BackendServer;
struct Change;
struct Chunk;
struct ChunkRef;
struct Head;
struct LimitPolicy;
struct ObjectKey;
struct ObjectRecord;
struct QueryService;
struct Rejection;
struct Release;
struct ReleaseContents;
struct ServiceView;
struct Shard;
struct ShardView;
struct Snapshot;
struct SnapshotView;
class ReleaseStore;

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_FORWARD_H_
