#include "ibismux/release/audit_trail.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cstdio>
#include <utility>

#include "ibismux/release/field_reader.h"

namespace ibismux::release {
namespace {

namespace json = boost::json;

// Conflicts come only from another publisher's recording at the same moment.
constexpr int kMostAttempts = 4;
constexpr std::uint64_t kMostInteger = INT64_MAX;

Result<Change> from_json(const json::object& json) {
  FieldReader reader(json, "audit");
  Change change;
  std::uint64_t at_ms = 0;
  const auto integer = [&reader](std::string_view field,
                                 std::uint64_t& target) {
    reader.integer<std::uint64_t>(field, target, 0, kMostInteger,
                                  FieldReader::kRequired);
  };
  integer("sequence", change.sequence);
  reader.text("change_id", change.change_id, FieldReader::kRequired);
  reader.text("object", change.object, FieldReader::kRequired);
  integer("from_version", change.from_version);
  integer("to_version", change.to_version);
  reader.text("operator", change.who, FieldReader::kRequired);
  integer("at_ms", at_ms);
  integer("generation", change.generation);
  change.when_ms = static_cast<std::int64_t>(at_ms);
  if (const Result<void> done = reader.finish(); !done) {
    return tl::unexpected<Error>(done.error());
  }
  return change;
}

}  // namespace

std::string audit_chunk_name(std::uint64_t sequence) {
  char name[32];
  std::snprintf(
      name, sizeof(name), "trail-%012llu",
      static_cast<unsigned long long>((sequence - 1) / kChangesPerAuditChunk));
  return name;
}

json::object change_to_json(const Change& change) {
  return {
      {"sequence", change.sequence},     {"change_id", change.change_id},
      {"object", change.object},         {"from_version", change.from_version},
      {"to_version", change.to_version}, {"operator", change.who},
      {"at_ms", change.when_ms},         {"generation", change.generation}};
}

std::string encode_audit(const AuditEntries& entries) {
  json::array changes;
  for (const auto& [sequence, change] : entries) {
    changes.push_back(change_to_json(change));
  }
  return json::serialize(json::object{{"changes", std::move(changes)}});
}

Result<AuditEntries> decode_audit(std::string_view text) {
  boost::system::error_code error;
  const json::value value = json::parse(text, error);
  const json::value* changes = !error && value.is_object()
                                   ? value.get_object().if_contains("changes")
                                   : nullptr;
  if (changes == nullptr || !changes->is_array()) {
    return fail(ErrorKind::kProtocolError, "audit chunk is malformed");
  }
  AuditEntries entries;
  for (const json::value& item : changes->get_array()) {
    if (!item.is_object()) {
      return fail(ErrorKind::kProtocolError, "audit entry is malformed");
    }
    Result<Change> change = from_json(item.get_object());
    if (!change) {
      return fail(ErrorKind::kProtocolError, change.error().message);
    }
    entries[change->sequence] = std::move(*change);
  }
  return entries;
}

AuditTrail::AuditTrail(store::ObjectStore& store,
                       std::chrono::milliseconds timeout)
    : store(store), timeout(timeout) {}

TimePoint AuditTrail::deadline() const {
  return Clock::now() + this->timeout;
}

Task<Result<AuditEntries>> AuditTrail::read_chunk(std::uint64_t sequence) {
  std::string collection = store::kAudit;
  std::string name = audit_chunk_name(sequence);
  Result<store::StoredObject> object = co_await this->store.get(
      std::move(collection), std::move(name), this->deadline());
  if (!object && object.error().kind == ErrorKind::kNotFound) {
    co_return AuditEntries{};
  }
  if (!object) {
    co_return tl::unexpected<Error>(object.error());
  }
  co_return decode_audit(object->value);
}

Task<Result<void>> AuditTrail::load(std::string name) {
  if (this->loaded.name == name) {
    co_return Result<void>();
  }
  std::string collection = store::kAudit;
  std::string key = name;
  Result<store::StoredObject> object = co_await this->store.get(
      std::move(collection), std::move(key), this->deadline());
  if (!object && object.error().kind == ErrorKind::kNotFound) {
    this->loaded = {std::move(name), 0, {}};
    co_return Result<void>();
  }
  if (!object) {
    co_return tl::unexpected<Error>(object.error());
  }
  Result<AuditEntries> entries = decode_audit(object->value);
  if (!entries) {
    co_return tl::unexpected<Error>(entries.error());
  }
  this->loaded = {std::move(name), object->version, std::move(*entries)};
  co_return Result<void>();
}

Task<Result<void>> AuditTrail::write(AuditEntries merged) {
  std::string collection = store::kAudit;
  std::string name = this->loaded.name;
  std::string value = encode_audit(merged);
  const store::Version expected = this->loaded.version;
  Result<store::Version> version =
      co_await this->store.put(std::move(collection), std::move(name),
                               std::move(value), expected, this->deadline());
  if (!version) {
    // Whether it took effect is unknown, or another publisher was first: what
    // is loaded can't be trusted until it is read again.
    this->loaded = {};
    co_return tl::unexpected<Error>(version.error());
  }
  this->loaded.version = *version;
  this->loaded.entries = std::move(merged);
  co_return Result<void>();
}

Task<Result<void>> AuditTrail::merge(std::string name, AuditEntries entries) {
  Result<void> done;
  for (int attempt = 0; attempt < kMostAttempts; ++attempt) {
    std::string wanted = name;
    done = co_await this->load(std::move(wanted));
    if (!done) {
      co_return done;
    }
    AuditEntries merged = this->loaded.entries;
    merged.insert(entries.begin(), entries.end());
    if (merged.size() == this->loaded.entries.size()) {
      co_return Result<void>();
    }
    done = co_await this->write(std::move(merged));
    if (done) {
      co_return done;
    }
  }
  co_return done;
}

Task<Result<void>> AuditTrail::record(std::vector<Change> changes) {
  std::map<std::string, AuditEntries> chunks;
  for (Change& change : changes) {
    if (change.sequence > this->recorded_to) {
      chunks[audit_chunk_name(change.sequence)].emplace(change.sequence,
                                                        std::move(change));
    }
  }
  for (auto& [name, entries] : chunks) {
    const std::uint64_t last = entries.rbegin()->first;
    std::string chunk = name;
    AuditEntries rows = std::move(entries);
    const Result<void> done =
        co_await this->merge(std::move(chunk), std::move(rows));
    if (!done) {
      co_return done;
    }
    this->recorded_to = std::max(this->recorded_to, last);
  }
  co_return Result<void>();
}

}  // namespace ibismux::release
