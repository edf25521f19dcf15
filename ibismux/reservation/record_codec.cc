#include "ibismux/reservation/record_codec.h"

#include <utility>

#include "ibismux/peer/thrift_codec.h"

namespace ibismux::reservation {

namespace {

constexpr std::int32_t kNoExecutor = -1;

std::int64_t as_signed(std::uint64_t value) {
  return static_cast<std::int64_t>(value);
}

std::uint64_t as_unsigned(std::int64_t value) {
  return static_cast<std::uint64_t>(value);
}

}  // namespace

gen::Record to_wire(const KeyRecord& record) {
  gen::Record wire;
  wire.key_high = as_signed(record.key.high);
  wire.key_low = as_signed(record.key.low);
  wire.body_hash = as_signed(record.body_hash);
  wire.claim_high = as_signed(record.claim.high);
  wire.claim_low = as_signed(record.claim.low);
  wire.state = static_cast<std::int8_t>(record.state);
  wire.executor = kNoExecutor;
  wire.created_s = record.created.count();
  wire.shard = record.shard;
  wire.result = record.result;
  return wire;
}

Result<KeyRecord> from_wire(const gen::Record& wire) {
  if (wire.state < 0 ||
      wire.state > static_cast<std::int8_t>(RecordState::kUnknown)) {
    return fail(ErrorKind::kProtocolError, "no such state of a key");
  }
  KeyRecord record;
  record.key = {as_unsigned(wire.key_high), as_unsigned(wire.key_low)};
  record.body_hash = as_unsigned(wire.body_hash);
  record.claim = {as_unsigned(wire.claim_high), as_unsigned(wire.claim_low)};
  record.state = static_cast<RecordState>(wire.state);
  record.created = std::chrono::seconds(wire.created_s);
  record.shard = wire.shard;
  record.result = wire.result;
  return record;
}

gen::Executor to_wire(const Incarnation& incarnation) {
  gen::Executor wire;
  wire.member = incarnation.member;
  wire.incarnation = as_signed(incarnation.number);
  return wire;
}

Incarnation from_wire(const gen::Executor& wire) {
  return {wire.member, as_unsigned(wire.incarnation)};
}

void RecordWriter::write(const KeyRecord& record) {
  gen::Record wire = to_wire(record);
  if (!record.executor.member.empty()) {
    const std::string name =
        record.executor.member + '\0' + std::to_string(record.executor.number);
    const auto next = static_cast<std::int32_t>(this->executors.size());
    const auto [position, fresh] = this->positions.emplace(name, next);
    if (fresh) {
      this->executors.push_back(to_wire(record.executor));
    }
    wire.executor = position->second;
  }
  this->records.push_back(std::move(wire));
}

Result<std::vector<KeyRecord>> read_records(
    const std::vector<gen::Executor>& executors,
    const std::vector<gen::Record>& records) {
  std::vector<KeyRecord> read;
  read.reserve(records.size());
  for (const gen::Record& wire : records) {
    auto record = from_wire(wire);
    if (!record) {
      return tl::unexpected<Error>(std::move(record).error());
    }
    if (wire.executor != kNoExecutor) {
      const auto position = static_cast<std::size_t>(wire.executor);
      if (position >= executors.size()) {
        return fail(ErrorKind::kProtocolError, "no such executor of a claim");
      }
      record->executor = from_wire(executors[position]);
    }
    read.push_back(std::move(*record));
  }
  return read;
}

std::string encode_segment(const std::vector<KeyRecord>& records) {
  RecordWriter writer;
  for (const KeyRecord& record : records) {
    writer.write(record);
  }
  gen::Segment wire;
  wire.executors = std::move(writer.executors);
  wire.records = std::move(writer.records);
  return peer::encode(wire);
}

Result<std::vector<KeyRecord>> decode_segment(const std::string& value) {
  auto wire = peer::decode<gen::Segment>(value);
  if (!wire) {
    return tl::unexpected<Error>(std::move(wire).error());
  }
  return read_records(wire->executors, wire->records);
}

}  // namespace ibismux::reservation
