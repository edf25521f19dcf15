#include "ibismux/operator/request_fields.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <charconv>
#include <utility>

namespace ibismux::operators {
namespace {

namespace json = boost::json;

constexpr std::size_t kMostFieldBytes = 128;
constexpr std::uint64_t kMostWaitMs = 60'000;
constexpr std::size_t kMostObjects = 10'000;

Result<json::object> read_json(const http::Request& request) {
  json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  boost::system::error_code error;
  json::value value = json::parse(request.body, error, {}, options);
  if (error) {
    return fail(ErrorKind::kInvalidRequest,
                "the body is not JSON: " + error.message());
  }
  if (!value.is_object()) {
    return fail(ErrorKind::kInvalidRequest, "the body must be a JSON object");
  }
  return std::move(value.get_object());
}

/// Who and when are told by the request, never by its body.
Result<release::ObjectRecord> read_record(const json::object& body) {
  if (body.contains("meta")) {
    return fail(ErrorKind::kInvalidRequest,
                "meta must be absent; it is filled in");
  }
  return release::parse_object(body);
}

std::optional<std::uint64_t> number_of(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

Result<release::ObjectKey> read_key(const Route& route) {
  const auto key = release::object_key_of(route.kind + ":" + route.name);
  if (key) {
    return *key;
  }
  if (!release::object_kind_of(route.kind)) {
    return fail(ErrorKind::kInvalidRequest,
                "the kind in the path must be one of query_service, shard, "
                "backend_server, snapshot, limit_policy");
  }
  return fail(ErrorKind::kInvalidRequest,
              "the name in the path must be 1 to 128 of A-Z a-z 0-9 . _ -");
}

Result<release::ObjectRecord> read_object(const http::Request& request,
                                          const release::ObjectKey& key) {
  Result<json::object> body = read_json(request);
  if (!body) {
    return tl::unexpected<Error>(body.error());
  }
  body->emplace("kind", to_string(key.kind));
  body->emplace("name", key.name);
  Result<release::ObjectRecord> record = read_record(*body);
  if (record && record->key != key) {
    return fail(ErrorKind::kInvalidRequest,
                "kind and name in the body must be those of the path");
  }
  if (record && record->deleted) {
    return fail(ErrorKind::kInvalidRequest,
                "deleted must be absent; use DELETE");
  }
  return record;
}

Result<std::vector<release::ObjectRecord>> read_objects(
    const http::Request& request) {
  const Result<json::object> body = read_json(request);
  if (!body) {
    return tl::unexpected<Error>(body.error());
  }
  const json::value* items = body->if_contains("objects");
  if (items == nullptr || !items->is_array() || body->size() != 1 ||
      items->get_array().size() > kMostObjects) {
    return fail(ErrorKind::kInvalidRequest,
                "the body must be {\"objects\":[...]} of at most 10000");
  }
  std::vector<release::ObjectRecord> records;
  for (const json::value& item : items->get_array()) {
    if (!item.is_object()) {
      return fail(ErrorKind::kInvalidRequest, "objects must be JSON objects");
    }
    Result<release::ObjectRecord> record = read_record(item.get_object());
    if (!record) {
      return tl::unexpected<Error>(record.error());
    }
    records.push_back(std::move(*record));
  }
  return records;
}

Result<WriteCondition> read_condition(const http::Request& request) {
  const std::string_view match = request.field("If-Match");
  const std::string_view none_match = request.field("If-None-Match");
  if (!none_match.empty() && (none_match != "*" || !match.empty())) {
    return fail(ErrorKind::kInvalidRequest,
                "If-None-Match must be *, and alone");
  }
  if (!none_match.empty()) {
    return WriteCondition{WriteCondition::Kind::kAbsent, 0};
  }
  if (match.empty()) {
    return WriteCondition{};
  }
  const std::optional<std::uint64_t> version = number_of(match);
  if (!version) {
    return fail(ErrorKind::kInvalidRequest, "If-Match must be a version");
  }
  return WriteCondition{WriteCondition::Kind::kVersion, *version};
}

Result<std::uint64_t> read_number(const http::Request& request,
                                  std::string_view name,
                                  std::uint64_t fallback,
                                  std::uint64_t most) {
  const std::string text = request.parameter(name);
  if (text.empty()) {
    return fallback;
  }
  const std::optional<std::uint64_t> value = number_of(text);
  if (!value || *value > most) {
    return fail(ErrorKind::kInvalidRequest,
                std::string(name) + " must be a whole number up to " +
                    std::to_string(most));
  }
  return *value;
}

Result<std::chrono::milliseconds> read_wait(const http::Request& request) {
  const Result<std::uint64_t> wait =
      read_number(request, "wait_ms", 0, kMostWaitMs);
  if (!wait) {
    return tl::unexpected<Error>(wait.error());
  }
  return std::chrono::milliseconds(*wait);
}

Result<std::string> read_text(const http::Request& request,
                              std::string_view name,
                              std::string fallback) {
  const std::string_view text = request.field(name);
  if (text.empty()) {
    return fallback;
  }
  const bool printable = std::all_of(
      text.begin(), text.end(), [](char c) { return c >= ' ' && c <= '~'; });
  if (!printable || text.size() > kMostFieldBytes) {
    return fail(
        ErrorKind::kInvalidRequest,
        std::string(name) + " must be at most 128 bytes of printable ASCII");
  }
  return std::string(text);
}

}  // namespace ibismux::operators
