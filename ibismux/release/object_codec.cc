#include "ibismux/release/object_codec.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <utility>

#include "ibismux/release/spec_reader.h"

namespace ibismux::release {
namespace {

namespace json = boost::json;

constexpr std::size_t kMostMetaBytes = 128;

json::array names_to_json(const std::vector<std::string>& names) {
  return json::array(names.begin(), names.end());
}

json::object to_json(const QueryService& spec) {
  json::object out{{"priority", to_string(spec.priority)},
                   {"deadline_ms", spec.deadline.count()}};
  if (spec.answer_by) {
    out["answer_by_ms"] = spec.answer_by->count();
  }
  out["min_coverage"] = spec.min_coverage;
  out["hedge_quantile"] = spec.hedge_quantile;
  out["hedge_budget"] = spec.hedge_budget;
  out["limits"] = names_to_json(spec.limits);
  return out;
}

json::object to_json(const Shard& spec) {
  return {{"service", spec.service},
          {"begin", spec.begin},
          {"end", spec.end},
          {"replicas", names_to_json(spec.replicas)}};
}

json::object to_json(const BackendServer& spec) {
  return {{"address", spec.address},
          {"port", spec.port},
          {"zone", spec.zone},
          {"slots", spec.slots},
          {"connections", spec.connections},
          {"connect_cost_ms", spec.connect_cost.count()},
          {"leaving", spec.leaving}};
}

json::object to_json(const Snapshot& spec) {
  return {{"service", spec.service},
          {"sequence", spec.sequence},
          {"shards", names_to_json(spec.shards)},
          {"servable", spec.servable}};
}

json::object to_json(const LimitPolicy& spec) {
  json::array rates;
  for (const RateRule& rule : spec.rates) {
    rates.push_back(json::object{{"limit", rule.limit},
                                 {"window_ms", rule.window.count()}});
  }
  return {{"scope",
           spec.scope == LimitPolicy::Scope::kService ? "service" : "caller"},
          {"concurrency", spec.concurrency},
          {"rates", std::move(rates)}};
}

std::string where_of(const ObjectKey& key) {
  return std::string(to_string(key.kind)) + "/" + key.name;
}

/// Kind and name as they are written, right or wrong.
std::string where_of(const json::object& json) {
  const json::value* kind = json.if_contains("kind");
  const json::value* name = json.if_contains("name");
  const auto text = [](const json::value* value) {
    return value != nullptr && value->is_string()
               ? std::string(value->get_string())
               : std::string("?");
  };
  return text(kind) + "/" + text(name);
}

ObjectKey read_key(FieldReader& reader) {
  ObjectKey key;
  std::string kind;
  reader.text("kind", kind, FieldReader::kRequired);
  const std::optional<ObjectKind> known = object_kind_of(kind);
  if (known) {
    key.kind = *known;
  } else {
    reader.refuse("kind",
                  "one of \"query_service\", \"shard\", \"backend_server\", "
                  "\"snapshot\", \"limit_policy\"");
  }
  reader.name("name", key.name, FieldReader::kRequired);
  return key;
}

Result<void> read_meta(const json::value& value, ObjectRecord& record) {
  const std::string where = where_of(record.key) + ": meta";
  if (!value.is_object()) {
    return fail(ErrorKind::kInvalidRequest, where + " must be an object");
  }
  FieldReader reader(value.get_object(), where);
  std::uint64_t at_ms = 0;
  reader.text("change_id", record.change_id, FieldReader::kRequired);
  reader.text("operator", record.who, FieldReader::kRequired);
  reader.integer<std::uint64_t>("at_ms", at_ms, 0, INT64_MAX);
  record.at_ms = static_cast<std::int64_t>(at_ms);
  if (record.change_id.empty() || record.change_id.size() > kMostMetaBytes) {
    reader.refuse("change_id", "1 to 128 bytes");
  }
  if (record.who.size() > kMostMetaBytes) {
    reader.refuse("operator", "at most 128 bytes");
  }
  return reader.finish();
}

/// The same as `parse_spec`, and which field an error is about.
Result<ObjectSpec> read_checked_spec(const ObjectKey& key,
                                     const json::object& json,
                                     std::string& refused) {
  FieldReader reader(json, where_of(key) + ": spec");
  ObjectSpec spec = read_spec(key, reader);
  const Result<void> done = reader.finish();
  if (!done) {
    refused = "spec." + reader.refused();
    return tl::unexpected<Error>(done.error());
  }
  return spec;
}

Result<void> read_body(FieldReader& reader,
                       ObjectRecord& record,
                       std::string& refused) {
  reader.flag("deleted", record.deleted);
  const json::value* spec = reader.take(
      "spec", record.deleted ? FieldReader::kOptional : FieldReader::kRequired);
  const json::value* meta = reader.take("meta", FieldReader::kOptional);
  if (spec != nullptr && !spec->is_object()) {
    reader.refuse("spec", "an object");
  }
  if (const Result<void> done = reader.finish(); !done) {
    refused = reader.refused();
    return tl::unexpected<Error>(done.error());
  }
  if (spec != nullptr && !record.deleted) {
    Result<ObjectSpec> read =
        read_checked_spec(record.key, spec->get_object(), refused);
    if (!read) {
      return tl::unexpected<Error>(read.error());
    }
    record.spec = std::move(*read);
  }
  return meta != nullptr ? read_meta(*meta, record) : Result<void>();
}

}  // namespace

Result<ObjectRecord> parse_object(const json::object& json,
                                  std::string* refused) {
  FieldReader reader(json, where_of(json));
  ObjectRecord record;
  record.key = read_key(reader);
  std::string field;
  const Result<void> done = read_body(reader, record, field);
  if (!done) {
    if (refused != nullptr) {
      *refused = std::move(field);
    }
    return tl::unexpected<Error>(done.error());
  }
  return record;
}

Result<ObjectRecord> parse_object(std::string_view text) {
  json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  boost::system::error_code error;
  const json::value value = json::parse(text, error, {}, options);
  if (error) {
    return fail(ErrorKind::kInvalidRequest, "not JSON: " + error.message());
  }
  if (!value.is_object()) {
    return fail(ErrorKind::kInvalidRequest, "an object must be a JSON object");
  }
  return parse_object(value.get_object());
}

Result<ObjectSpec> parse_spec(const ObjectKey& key, const json::object& json) {
  std::string refused;
  return read_checked_spec(key, json, refused);
}

json::object spec_to_json(const ObjectSpec& spec) {
  return std::visit([](const auto& s) { return to_json(s); }, spec);
}

json::object object_to_json(const ObjectRecord& record) {
  json::object out{{"kind", to_string(record.key.kind)},
                   {"name", record.key.name}};
  if (record.deleted) {
    out["deleted"] = true;
  } else {
    out["spec"] = spec_to_json(record.spec);
  }
  if (!record.change_id.empty()) {
    out["meta"] = json::object{{"change_id", record.change_id},
                               {"operator", record.who},
                               {"at_ms", record.at_ms}};
  }
  return out;
}

}  // namespace ibismux::release
