#include "ibismux/store/own_dialect.h"

#include <utility>

#include "ibismux/http/message.h"
#include "ibismux/store/wire.h"

namespace ibismux::store {

http::Request OwnDialect::get(std::string_view collection,
                              std::string_view name) const {
  return request_to("GET", wire::object_target(collection, name));
}

http::Request OwnDialect::list(std::string_view collection,
                               std::string_view) const {
  return request_to("GET", wire::collection_target(collection));
}

http::Request OwnDialect::watch(std::string_view collection,
                                Version since,
                                std::chrono::milliseconds wait) const {
  return request_to("GET", wire::watch_target(collection, since, wait));
}

http::Request OwnDialect::put(std::string_view collection,
                              std::string_view name,
                              std::string value,
                              Version expected) const {
  auto request = request_to("PUT", wire::object_target(collection, name));
  if (expected == 0) {
    request.add("If-None-Match", "*");
  } else {
    request.add("If-Match", std::to_string(expected));
  }
  request.body = std::move(value);
  return request;
}

http::Request OwnDialect::remove(std::string_view collection,
                                 std::string_view name,
                                 Version expected) const {
  auto request = request_to("DELETE", wire::object_target(collection, name));
  request.add("If-Match", std::to_string(expected));
  return request;
}

std::optional<http::Request> OwnDialect::hosts() const {
  return request_to("GET", std::string(wire::kHostsPath));
}

Result<StoredObject> OwnDialect::read_object(
    std::string_view collection,
    std::string_view name,
    const http::Response& response) const {
  const auto version = wire::parse_etag(response.field("ETag"));
  if (!version) {
    return tl::unexpected(version.error());
  }
  return StoredObject{std::string(collection), std::string(name), *version,
                      response.body};
}

Result<ListingPage> OwnDialect::read_listing(
    std::string_view collection,
    const http::Response& response) const {
  return wire::parse_listing(std::string(collection), response.body)
      .map([](Listing&& listing) {
        return ListingPage{std::move(listing), std::nullopt};
      });
}

Result<WatchBatch> OwnDialect::read_watch(
    std::string_view collection,
    Version since,
    const http::Response& response) const {
  return wire::parse_watch(std::string(collection), since, response.body);
}

Result<Version> OwnDialect::read_written(const http::Response& response) const {
  return wire::parse_version(response.body);
}

Result<std::vector<HostEntry>> OwnDialect::read_hosts(
    const http::Response& response) const {
  return wire::parse_hosts(response.body);
}

}  // namespace ibismux::store
