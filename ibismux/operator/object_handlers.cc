#include <boost/json/array.hpp>
#include <utility>

#include "ibismux/operator/handlers.h"
#include "ibismux/operator/request_fields.h"
#include "ibismux/operator/responses.h"
#include "ibismux/release/dry_run.h"
#include "ibismux/release/release_contents.h"

namespace ibismux::operators {
namespace {

namespace json = boost::json;

json::object with_version(const release::ObjectKey& key,
                          store::Version version) {
  json::object out = key_json(key);
  out["version"] = version;
  return out;
}

http::Response with_etag(http::Response response, store::Version version) {
  response.add("ETag", std::to_string(version));
  return response;
}

}  // namespace

json::object Handlers::status_of(const release::ObjectKey& key,
                                 store::Version written) const {
  const auto contents = this->ports.releases.contents();
  const release::ObjectStatus status =
      release::status_of(*contents, key, written);
  return status_json(status, this->ports.in_force(status.generation));
}

Task<http::Response> Handlers::list_all(Call) {
  co_return this->list(std::nullopt);
}

Task<http::Response> Handlers::list_kind(Call call) {
  const auto kind = release::object_kind_of(call.route.kind);
  if (!kind) {
    co_return error_response(
        make_error(ErrorKind::kNotFound, "no such kind: " + call.route.kind));
  }
  co_return this->list(kind);
}

http::Response Handlers::list(std::optional<release::ObjectKind> kind) const {
  const auto contents = this->ports.releases.contents();
  json::array objects;
  for (const auto& [key, object] : contents->objects) {
    if (!kind || key.kind == *kind) {
      json::object out = with_version(key, object.version);
      out["spec"] = spec_to_json(*object.spec);
      out["status"] = this->status_of(key, 0);
      objects.push_back(std::move(out));
    }
  }
  json::array rejected;
  for (const auto& [key, rejection] : contents->rejections) {
    if (!kind || key.kind == *kind) {
      json::object out = with_version(key, rejection.version);
      out["reason"] = rejection.reason;
      out["generation"] = rejection.generation;
      rejected.push_back(std::move(out));
    }
  }
  return json_response(200, {{"generation", contents->head.generation},
                             {"objects", std::move(objects)},
                             {"rejected", std::move(rejected)}});
}

Task<http::Response> Handlers::get(Call call) {
  const Result<release::ObjectKey> key = read_key(call.route);
  if (!key) {
    co_return error_response(key.error());
  }
  std::string collection = store::kObjects;
  std::string name = to_string(*key);
  const Result<store::StoredObject> stored = co_await this->ports.store.get(
      std::move(collection), std::move(name),
      Clock::now() + this->ports.platform_timeout);
  if (stored) {
    co_return this->stored_object(*key, *stored);
  }
  if (stored.error().kind == ErrorKind::kPlatformUnavailable) {
    co_return this->accepted_object(*key);
  }
  co_return error_response(stored.error());
}

http::Response Handlers::stored_object(
    const release::ObjectKey& key,
    const store::StoredObject& stored) const {
  json::object out = with_version(key, stored.version);
  const Result<release::ObjectRecord> record =
      release::parse_object(stored.value);
  if (record && record->deleted) {
    return error_response(
        make_error(ErrorKind::kNotFound, to_string(key) + " is deleted"));
  }
  if (record) {
    out["change_id"] = record->change_id;
    out["operator"] = record->who;
    out["at_ms"] = record->at_ms;
    out["spec"] = spec_to_json(record->spec);
  } else {
    out["error"] = record.error().message;
  }
  out["status"] = this->status_of(key, stored.version);
  return with_etag(json_response(200, out), stored.version);
}

http::Response Handlers::accepted_object(const release::ObjectKey& key) const {
  const auto contents = this->ports.releases.contents();
  const auto found = contents->objects.find(key);
  if (found == contents->objects.end()) {
    return error_response(make_error(
        ErrorKind::kPlatformUnavailable,
        to_string(key) + " is not in force, and the platform is away"));
  }
  json::object out = with_version(key, found->second.version);
  out["change_id"] = found->second.change_id;
  out["spec"] = spec_to_json(*found->second.spec);
  out["status"] = this->status_of(key, 0);
  // The platform is away: a newer version may have been written.
  out["from_release"] = true;
  return with_etag(json_response(200, out), found->second.version);
}

Task<http::Response> Handlers::put(Call call) {
  const Result<release::ObjectKey> key = read_key(call.route);
  if (!key) {
    co_return error_response(key.error());
  }
  Result<release::ObjectRecord> record = read_object(*call.request, *key);
  if (!record) {
    co_return error_response(record.error());
  }
  co_return co_await this->write(std::move(*record), std::move(call));
}

Task<http::Response> Handlers::remove(Call call) {
  const Result<release::ObjectKey> key = read_key(call.route);
  if (!key) {
    co_return error_response(key.error());
  }
  release::ObjectRecord record{.key = *key, .deleted = true};
  co_return co_await this->write(std::move(record), std::move(call));
}

Task<http::Response> Handlers::write(release::ObjectRecord record, Call call) {
  const Result<WriteCondition> condition = read_condition(*call.request);
  if (!condition) {
    co_return error_response(condition.error());
  }
  if (call.request->parameter("dry_run") == "1") {
    const std::vector<release::ObjectRecord> records{record};
    co_return this->verdicts(records);
  }
  const Result<void> signed_off = this->sign(*call.request, record);
  if (!signed_off) {
    co_return error_response(signed_off.error());
  }
  const release::ObjectKey key = record.key;
  const ObjectWriter::Outcome outcome =
      co_await this->writer.write(std::move(record), *condition);
  if (!outcome) {
    co_return write_failure_response(outcome.error());
  }
  this->ports.written(key, outcome->version);
  json::object out = with_version(key, outcome->version);
  out["change_id"] = outcome->change_id;
  out["unchanged"] = outcome->unchanged;
  out["status"] = this->status_of(key, outcome->version);
  co_return with_etag(json_response(outcome->created ? 201 : 200, out),
                      outcome->version);
}

http::Response Handlers::verdicts(
    const std::vector<release::ObjectRecord>& records) const {
  bool valid = true;
  json::array objects;
  for (const release::DryRunVerdict& verdict :
       release::dry_run(*this->ports.releases.contents(), records)) {
    json::object out = key_json(verdict.key);
    out["accepted"] = verdict.accepted;
    if (!verdict.accepted) {
      out["reason"] = verdict.reason;
      valid = false;
    }
    objects.push_back(std::move(out));
  }
  return json_response(
      200,
      {{"dry_run", true}, {"valid", valid}, {"objects", std::move(objects)}});
}

Task<http::Response> Handlers::validate(Call call) {
  const Result<std::vector<release::ObjectRecord>> records =
      read_objects(*call.request);
  if (!records) {
    co_return error_response(records.error());
  }
  co_return this->verdicts(*records);
}

Task<http::Response> Handlers::object_status(Call call) {
  const Result<release::ObjectKey> key = read_key(call.route);
  const Result<std::uint64_t> version =
      read_number(*call.request, "version", 0, INT64_MAX);
  const Result<std::uint64_t> seen =
      read_number(*call.request, "seen", 0, INT64_MAX);
  const Result<std::chrono::milliseconds> wait = read_wait(*call.request);
  if (!key || !version || !seen || !wait) {
    co_return error_response(!key       ? key.error()
                             : !version ? version.error()
                             : !seen    ? seen.error()
                                        : wait.error());
  }
  const bool everywhere = call.request->parameter("until") == "in_force";
  const auto status = [this, key = *key, version = *version, seen = *seen] {
    const auto contents = this->ports.releases.contents();
    // Until a release has seen all that its operator wrote, a verdict may still
    // change: what is valid only with a later write is rejected before it.
    return contents->head.objects_version < seen
               ? release::ObjectStatus{.state = release::ObjectState::kPending}
               : release::status_of(*contents, key, version);
  };
  std::function<bool()> reached = [this, status, everywhere] {
    const release::ObjectStatus now = status();
    return now.state != release::ObjectState::kPending &&
           (!everywhere || now.state == release::ObjectState::kRejected ||
            this->ports.in_force(now.generation).everywhere());
  };
  co_await poll(std::move(reached), call.client, *wait);
  const release::ObjectStatus now = status();
  json::object out = key_json(*key);
  out["status"] = status_json(now, this->ports.in_force(now.generation));
  co_return json_response(200, out);
}

}  // namespace ibismux::operators
