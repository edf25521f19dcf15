#ifndef IBISMUX_RELEASE_RELEASE_H_
#define IBISMUX_RELEASE_RELEASE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "ibismux/base/ids.h"
#include "ibismux/release/backend_server.h"
#include "ibismux/release/limit_policy.h"
#include "ibismux/release/query_service.h"

namespace ibismux::release {

/// A shard as the request path reads it: replicas are positions in
/// `Release::leafs`.
struct ShardView {
  std::string name;
  std::uint32_t begin = 0;
  std::uint32_t end = 0;
  std::vector<std::uint32_t> replicas;
};

/// A servable snapshot with its shards in order of their key ranges.
struct SnapshotView {
  std::string name;
  std::uint64_t sequence = 0;
  std::vector<ShardView> shards;
};

/// A service with its servable snapshots, newest first.
struct ServiceView {
  QueryService spec;
  std::vector<std::shared_ptr<const SnapshotView>> snapshots;
  std::vector<std::shared_ptr<const LimitPolicy>> limits;
};

/// One accepted configuration, whole and immutable. Swapped as one through
/// `RcuCell<Release>`; only a higher generation ever replaces it.
struct Release {
  Generation generation = 0;
  std::vector<BackendServer> leafs;  ///< In order of their names.
  std::map<std::string, std::shared_ptr<const ServiceView>, std::less<>>
      services;
};

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_RELEASE_H_
