#include "ibismux/checkpoint/leaf_checkpoint.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>
#include <cstdint>
#include <set>
#include <stdexcept>
#include <utility>

#include "ibismux/store/object_value.h"

namespace ibismux::checkpoint {

namespace {

namespace json = boost::json;
using directory::LeafEntry;

json::object object_of(const LeafEntry& leaf) {
  return {{"id", leaf.run.id},    {"start_ms", leaf.run.started.count()},
          {"seq", leaf.sequence}, {"address", leaf.address},
          {"port", leaf.port},    {"zone", leaf.zone},
          {"slots", leaf.slots}};
}

/// Throws what Boost.JSON throws where a member is absent, of another type or
/// out of range, and std::invalid_argument where it names no usable leaf.
LeafEntry leaf_of(std::string_view service, const json::object& object) {
  LeafEntry leaf;
  leaf.run.id = json::value_to<std::string>(object.at("id"));
  leaf.run.started = std::chrono::milliseconds(
      json::value_to<std::int64_t>(object.at("start_ms")));
  leaf.sequence = json::value_to<std::uint64_t>(object.at("seq"));
  leaf.service = service;
  leaf.address = json::value_to<std::string>(object.at("address"));
  leaf.port = json::value_to<std::uint16_t>(object.at("port"));
  leaf.zone = json::value_to<std::string>(object.at("zone"));
  leaf.slots = json::value_to<std::uint32_t>(object.at("slots"));
  if (leaf.run.id.empty() || leaf.run.started.count() < 0 ||
      leaf.address.empty() || leaf.port == 0 || leaf.slots == 0) {
    throw std::invalid_argument("not a leaf");
  }
  return leaf;
}

LeafCheckpoint checkpoint_of(const json::object& object) {
  LeafCheckpoint checkpoint;
  std::set<std::string> ids;
  for (const auto& service : object.at("services").as_object()) {
    for (const json::value& leaf : service.value().as_array()) {
      checkpoint.leafs.push_back(leaf_of(service.key(), leaf.as_object()));
      if (!ids.insert(checkpoint.leafs.back().run.id).second) {
        throw std::invalid_argument("a leaf is listed twice");
      }
    }
  }
  return checkpoint;
}

/// The leafs by id, without what `have_same_leafs()` ignores.
std::vector<LeafEntry> comparable(const LeafCheckpoint& checkpoint) {
  std::vector<LeafEntry> leafs = checkpoint.leafs;
  for (LeafEntry& leaf : leafs) {
    leaf.sequence = 0;
    leaf.warmup_left = std::chrono::milliseconds(0);
  }
  std::sort(leafs.begin(), leafs.end(),
            [](const LeafEntry& one, const LeafEntry& other) {
              return one.run < other.run;
            });
  return leafs;
}

}  // namespace

bool have_same_leafs(const LeafCheckpoint& one, const LeafCheckpoint& other) {
  return comparable(one) == comparable(other);
}

std::string encode(const LeafCheckpoint& checkpoint) {
  json::object services;
  for (const LeafEntry& leaf : checkpoint.leafs) {
    json::value& leafs = services[leaf.service];
    if (leafs.is_null()) {
      leafs.emplace_array();
    }
    leafs.as_array().push_back(object_of(leaf));
  }
  return json::serialize(json::object{{"services", std::move(services)}});
}

Result<LeafCheckpoint> decode_leaf_checkpoint(std::string_view value) {
  return store::decode_value(value, "leaf checkpoint", &checkpoint_of);
}

}  // namespace ibismux::checkpoint
