#include "ibismux/operator/object_writer.h"

#include <boost/json/serialize.hpp>
#include <utility>

namespace ibismux::operators {
namespace {

// An unconditional write competes with others for the version that it read.
constexpr int kMostAttempts = 5;

tl::unexpected<WriteFailure> refuse(
    Error error,
    std::optional<store::Version> current = std::nullopt) {
  return tl::unexpected<WriteFailure>(WriteFailure{std::move(error), current});
}

std::string describe(const release::ObjectKey& key) {
  return std::string(to_string(key.kind)) + "/" + key.name;
}

tl::unexpected<WriteFailure> conflict(const release::ObjectKey& key,
                                      store::Version current) {
  return refuse(make_error(ErrorKind::kConflict,
                           describe(key) + ": the current version is " +
                               std::to_string(current)),
                current);
}

bool satisfies(const WriteCondition& condition,
               store::Version version,
               bool exists) {
  switch (condition.kind) {
    case WriteCondition::Kind::kVersion:
      return exists && version == condition.version;
    case WriteCondition::Kind::kAbsent:
      return !exists;
    case WriteCondition::Kind::kNone:
      return true;
  }
  return false;
}

}  // namespace

Task<Result<ObjectWriter::Current>> ObjectWriter::read(release::ObjectKey key) {
  std::string collection = store::kObjects;
  std::string name = to_string(key);
  const Result<store::StoredObject> stored = co_await this->store.get(
      std::move(collection), std::move(name), Clock::now() + this->timeout);
  if (!stored && stored.error().kind == ErrorKind::kNotFound) {
    co_return Current{};
  }
  if (!stored) {
    Error error = stored.error();
    error.execution = Execution::kNotRun;
    co_return tl::unexpected<Error>(std::move(error));
  }
  Current current{stored->version, std::nullopt};
  Result<release::ObjectRecord> record = release::parse_object(stored->value);
  if (record) {
    current.record = std::move(*record);
  }
  co_return current;
}

Task<ObjectWriter::Outcome> ObjectWriter::write(release::ObjectRecord record,
                                                WriteCondition condition) {
  Outcome outcome = refuse(make_error(ErrorKind::kConflict, ""));
  for (int attempt = 0; attempt < kMostAttempts; ++attempt) {
    release::ObjectKey key = record.key;
    Result<Current> current = co_await this->read(std::move(key));
    if (!current) {
      co_return refuse(current.error());
    }
    // Sent again after its answer was lost: it is there already.
    if (current->record && current->record->change_id == record.change_id) {
      co_return WriteOutcome{.version = current->version,
                             .change_id = record.change_id};
    }
    if (record.deleted && !current->exists()) {
      co_return refuse(make_error(ErrorKind::kNotFound,
                                  describe(record.key) + " does not exist"));
    }
    if (!satisfies(condition, current->version, current->exists())) {
      co_return conflict(record.key, current->version);
    }
    release::ObjectRecord copy = record;
    outcome = co_await this->write_over(std::move(copy), std::move(*current));
    const bool lost_race =
        !outcome && outcome.error().error.kind == ErrorKind::kConflict;
    if (!lost_race || condition.kind != WriteCondition::Kind::kNone) {
      co_return outcome;
    }
  }
  co_return outcome;
}

Task<ObjectWriter::Outcome> ObjectWriter::write_over(
    release::ObjectRecord record,
    Current current) {
  const bool same = !record.deleted && current.exists() && current.record &&
                    current.record->spec == record.spec;
  if (same) {
    co_return WriteOutcome{.version = current.version,
                           .change_id = current.record->change_id,
                           .unchanged = true};
  }
  std::string collection = store::kObjects;
  std::string name = to_string(record.key);
  std::string value = boost::json::serialize(object_to_json(record));
  const Result<store::Version> version = co_await this->store.put(
      std::move(collection), std::move(name), std::move(value), current.version,
      Clock::now() + this->timeout);
  if (version) {
    co_return WriteOutcome{.version = *version,
                           .change_id = record.change_id,
                           .created = !current.exists()};
  }
  Error error = version.error();
  Outcome outcome = co_await this->settle(std::move(record), current.version,
                                          std::move(error));
  if (outcome) {
    outcome->created = !current.exists();
  }
  co_return outcome;
}

Task<ObjectWriter::Outcome> ObjectWriter::settle(release::ObjectRecord record,
                                                 store::Version expected,
                                                 Error error) {
  const bool is_conflict = error.kind == ErrorKind::kConflict;
  if (!is_conflict && error.execution == Execution::kNotRun) {
    co_return refuse(std::move(error));
  }
  release::ObjectKey key = record.key;
  const Result<Current> now = co_await this->read(std::move(key));
  if (!now) {
    co_return refuse(std::move(error));
  }
  if (now->record && now->record->change_id == record.change_id) {
    co_return WriteOutcome{.version = now->version,
                           .change_id = record.change_id};
  }
  if (is_conflict) {
    co_return conflict(record.key, now->version);
  }
  if (now->version == expected) {
    // The write may still be on its way; its change id makes it safe to send
    // again.
    co_return refuse(std::move(error), now->version);
  }
  co_return refuse(make_error(ErrorKind::kOutcomeUnknown,
                              describe(record.key) +
                                  ": written by someone else before the answer "
                                  "to change " +
                                  record.change_id + " could be settled"),
                   now->version);
}

}  // namespace ibismux::operators
