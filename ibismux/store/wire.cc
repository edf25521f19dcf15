#include "ibismux/store/wire.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <charconv>
#include <optional>

namespace ibismux::store::wire {

namespace {

namespace json = boost::json;

constexpr std::string_view kObjectsPath = "/v1/objects/";
constexpr std::string_view kWatchPath = "/v1/watch/";

std::string escaped(std::string_view text) {
  return boost::urls::encode(text, boost::urls::unreserved_chars);
}

tl::unexpected<Error> malformed(std::string_view what) {
  return fail(ErrorKind::kProtocolError,
              "platform's answer: " + std::string(what));
}

Result<json::object> parse_object(std::string_view body) {
  json::parse_options options;
  // A value is opaque, so its bytes need not be UTF-8.
  options.allow_invalid_utf8 = true;
  boost::system::error_code error;
  json::value value = json::parse(body, error, {}, options);
  if (error || !value.is_object()) {
    return malformed("no JSON object");
  }
  return std::move(value.get_object());
}

/// @name Typed members; null where absent or of another type
/// @{
const json::string* string_at(const json::object& object,
                              std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value ? value->if_string() : nullptr;
}

const json::array* array_at(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value ? value->if_array() : nullptr;
}

std::optional<bool> bool_at(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value && value->is_bool() ? std::optional(value->get_bool())
                                   : std::nullopt;
}

std::optional<Version> version_at(const json::object& object,
                                  std::string_view key) {
  const json::value* value = object.if_contains(key);
  if (value && value->is_int64() && value->get_int64() >= 0) {
    return static_cast<Version>(value->get_int64());
  }
  return value && value->is_uint64() ? std::optional(value->get_uint64())
                                     : std::nullopt;
}
/// @}

/// The object in one row of a listing or a watch. `newest` bounds its version:
/// a row that is newer than the answer it stands in would be missed by the next
/// watch, or the answer is garbled.
std::optional<StoredObject> stored_object(const std::string& collection,
                                          const json::value& row,
                                          Version newest,
                                          bool needs_value) {
  const json::object* object = row.if_object();
  if (!object) {
    return std::nullopt;
  }
  const json::string* name = string_at(*object, "name");
  const json::string* value = string_at(*object, "value");
  const auto version = version_at(*object, "version");
  if (!name || name->empty() || name->size() > kMostNameBytes || !version ||
      *version == 0 || *version > newest || (needs_value && !value) ||
      (value && value->size() > kMostValueBytes)) {
    return std::nullopt;
  }
  return StoredObject{collection, std::string(*name), *version,
                      value ? std::string(*value) : std::string()};
}

std::optional<HostEntry> host_entry(const json::value& row) {
  const json::object* object = row.if_object();
  if (!object) {
    return std::nullopt;
  }
  const json::string* name = string_at(*object, "name");
  const json::string* address = string_at(*object, "peer_address");
  const json::string* zone = string_at(*object, "zone");
  const auto leaving = bool_at(*object, "leaving");
  if (!name || name->empty() || !address || !zone || !leaving) {
    return std::nullopt;
  }
  return HostEntry{std::string(*name), std::string(*address),
                   std::string(*zone), *leaving};
}

}  // namespace

std::string collection_target(std::string_view collection) {
  return std::string(kObjectsPath) + escaped(collection);
}

std::string object_target(std::string_view collection, std::string_view name) {
  return collection_target(collection) + '/' + escaped(name);
}

std::string watch_target(std::string_view collection,
                         Version since,
                         std::chrono::milliseconds wait) {
  return std::string(kWatchPath) + escaped(collection) +
         "?since=" + std::to_string(since) +
         "&wait_ms=" + std::to_string(wait.count());
}

Result<Version> parse_etag(std::string_view etag) {
  if (etag.size() >= 2 && etag.front() == '"' && etag.back() == '"') {
    etag = etag.substr(1, etag.size() - 2);
  }
  Version version = 0;
  const char* end = etag.data() + etag.size();
  const auto parsed = std::from_chars(etag.data(), end, version);
  if (parsed.ec != std::errc() || parsed.ptr != end || version == 0) {
    return malformed("no version in the ETag");
  }
  return version;
}

Result<Version> parse_version(std::string_view body) {
  auto object = parse_object(body);
  if (!object) {
    return tl::unexpected(std::move(object.error()));
  }
  const auto version = version_at(*object, "version");
  if (!version) {
    return malformed("no version");
  }
  return *version;
}

Result<Listing> parse_listing(const std::string& collection,
                              std::string_view body) {
  auto object = parse_object(body);
  if (!object) {
    return tl::unexpected(std::move(object.error()));
  }
  const auto version = version_at(*object, "version");
  const json::array* rows = array_at(*object, "objects");
  if (!version || !rows) {
    return malformed("a listing without version or objects");
  }
  Listing listing;
  listing.version = *version;
  listing.objects.reserve(rows->size());
  for (const json::value& row : *rows) {
    auto stored = stored_object(collection, row, *version, true);
    if (!stored) {
      return malformed("bad object in a listing");
    }
    listing.objects.push_back(std::move(*stored));
  }
  return listing;
}

Result<WatchBatch> parse_watch(const std::string& collection,
                               Version since,
                               std::string_view body) {
  auto object = parse_object(body);
  if (!object) {
    return tl::unexpected(std::move(object.error()));
  }
  const auto version = version_at(*object, "version");
  const json::array* rows = array_at(*object, "events");
  if (!version || *version < since || !rows) {
    return malformed("a watch without version or events");
  }
  WatchBatch batch;
  batch.version = *version;
  batch.events.reserve(rows->size());
  for (const json::value& row : *rows) {
    const json::object* event = row.if_object();
    const auto removed = event ? bool_at(*event, "removed") : std::nullopt;
    auto stored = removed ? stored_object(collection, row, *version, !*removed)
                          : std::nullopt;
    if (!stored) {
      return malformed("bad event in a watch");
    }
    batch.events.push_back({std::move(*stored), *removed});
  }
  return batch;
}

Result<std::vector<HostEntry>> parse_hosts(std::string_view body) {
  auto object = parse_object(body);
  if (!object) {
    return tl::unexpected(std::move(object.error()));
  }
  const json::array* rows = array_at(*object, "hosts");
  if (!rows) {
    return malformed("no host list");
  }
  std::vector<HostEntry> hosts;
  for (const json::value& row : *rows) {
    auto entry = host_entry(row);
    if (!entry) {
      return malformed("bad host in the host list");
    }
    hosts.push_back(std::move(*entry));
  }
  return hosts;
}

}  // namespace ibismux::store::wire
