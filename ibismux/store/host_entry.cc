#include "ibismux/store/host_entry.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>
#include <utility>

#include "ibismux/store/object_value.h"

namespace ibismux::store {

namespace {

namespace json = boost::json;

/// Throws what Boost.JSON throws where a member is absent or of another type.
HostEntry entry_of(const json::object& object) {
  HostEntry entry;
  entry.name = json::value_to<std::string>(object.at("name"));
  entry.peer_address = json::value_to<std::string>(object.at("peer_address"));
  entry.zone = json::value_to<std::string>(object.at("zone"));
  entry.leaving = object.at("leaving").as_bool();
  if (const json::value* fleet = object.if_contains("fleet")) {
    for (const auto& zone : fleet->as_object()) {
      entry.fleet[zone.key()] = json::value_to<std::size_t>(zone.value());
    }
  }
  return entry;
}

}  // namespace

std::string encode(const HostEntry& entry) {
  json::object fleet;
  for (const auto& [zone, hosts] : entry.fleet) {
    fleet[zone] = hosts;
  }
  return json::serialize(json::object{{"name", entry.name},
                                      {"peer_address", entry.peer_address},
                                      {"zone", entry.zone},
                                      {"leaving", entry.leaving},
                                      {"fleet", std::move(fleet)}});
}

Result<HostEntry> decode_host_entry(std::string_view value) {
  return decode_value(value, "host entry", &entry_of);
}

}  // namespace ibismux::store
