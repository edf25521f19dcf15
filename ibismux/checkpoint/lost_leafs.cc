#include "ibismux/checkpoint/lost_leafs.h"

#include <cstddef>
#include <map>
#include <set>

#include "ibismux/checkpoint/leaf_checkpoint.h"

namespace ibismux::checkpoint {

std::vector<directory::LeafEntry> lost_leafs(
    const LeafCheckpoint& checkpoint,
    const std::vector<directory::LeafEntry>& listed) {
  // A leaf that has restarted or moved to another service keeps its id.
  std::set<std::string> listed_ids;
  for (const directory::LeafEntry& entry : listed) {
    listed_ids.insert(entry.run.id);
  }
  struct Count {
    std::size_t all = 0;
    std::size_t listed = 0;
  };
  std::map<std::string, Count> by_service;
  for (const directory::LeafEntry& entry : listed) {
    ++by_service[entry.service].listed;
  }
  for (const directory::LeafEntry& entry : checkpoint.leafs) {
    ++by_service[entry.service].all;
  }
  std::vector<directory::LeafEntry> lost;
  for (const directory::LeafEntry& entry : checkpoint.leafs) {
    const Count& count = by_service[entry.service];
    if (count.listed * 2 < count.all && !listed_ids.contains(entry.run.id)) {
      lost.push_back(entry);
    }
  }
  return lost;
}

}  // namespace ibismux::checkpoint
