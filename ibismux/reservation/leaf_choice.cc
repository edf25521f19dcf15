#include "ibismux/reservation/leaf_choice.h"

#include <xxhash.h>

#include <algorithm>
#include <vector>

#include "ibismux/release/release.h"
#include "ibismux/release/shard.h"

namespace ibismux::reservation {

namespace {

tl::unexpected<Error> refuse(ErrorKind kind, std::string message) {
  Error error = make_error(kind, std::move(message));
  error.execution = Execution::kNotRun;
  return tl::unexpected<Error>(std::move(error));
}

const release::ShardView* find_shard(const release::SnapshotView& snapshot,
                                     std::uint32_t position) {
  const auto found = std::ranges::find_if(
      snapshot.shards, [position](const release::ShardView& shard) {
        return shard.begin <= position && position < shard.end;
      });
  return found == snapshot.shards.end() ? nullptr : &*found;
}

}  // namespace

std::uint32_t item_position(std::string_view item) noexcept {
  return static_cast<std::uint32_t>(XXH3_64bits(item.data(), item.size()) %
                                    release::kKeySpace);
}

Result<LeafChoice> choose_leaf(const release::Release& release,
                               std::string_view service,
                               std::string_view item,
                               std::size_t attempt) {
  const auto found = release.services.find(service);
  if (found == release.services.end()) {
    return refuse(ErrorKind::kNotFound, "no such service");
  }
  const auto& snapshots = found->second->snapshots;
  if (snapshots.empty()) {
    return refuse(ErrorKind::kNotReady, "the service has no snapshot yet");
  }
  const release::SnapshotView& newest = *snapshots.front();
  const release::ShardView* shard = find_shard(newest, item_position(item));
  if (shard == nullptr) {
    return refuse(ErrorKind::kNotReady, "no shard holds the item");
  }
  std::vector<std::uint32_t> usable;
  std::ranges::copy_if(
      shard->replicas, std::back_inserter(usable),
      [&release](std::uint32_t leaf) { return !release.leafs[leaf].leaving; });
  if (usable.empty()) {
    return refuse(ErrorKind::kLeafUnavailable, "every replica is leaving");
  }
  const std::uint32_t leaf = usable[attempt % usable.size()];
  return LeafChoice{newest.name, shard->name, release.leafs[leaf].name};
}

}  // namespace ibismux::reservation
