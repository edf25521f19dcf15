#include "ibismux/reservation/bucket.h"

#include <algorithm>
#include <utility>

#include "ibismux/peer/thrift_codec.h"
#include "ibismux/reservation/record_codec.h"

namespace ibismux::reservation {

Result<Bucket> Bucket::decode(const std::string& value) {
  auto wire = peer::decode<gen::Head>(value);
  if (!wire) {
    return tl::unexpected<Error>(std::move(wire).error());
  }
  auto records = read_records(wire->executors, wire->records);
  if (!records) {
    return tl::unexpected<Error>(std::move(records).error());
  }
  Bucket bucket;
  for (KeyRecord& record : *records) {
    bucket.size_bytes += stored_bytes(record);
    bucket.records.emplace(record.key, std::move(record));
  }
  for (const gen::SegmentRef& ref : wire->segments) {
    bucket.segment_refs.push_back({ref.name,
                                   static_cast<std::uint64_t>(ref.sequence),
                                   std::chrono::seconds(ref.newest_s)});
  }
  bucket.next_sequence = static_cast<std::uint64_t>(wire->next_sequence);
  return bucket;
}

std::string Bucket::encode() const {
  RecordWriter writer;
  for (const auto& [key, record] : this->records) {
    writer.write(record);
  }
  gen::Head wire;
  wire.executors = std::move(writer.executors);
  wire.records = std::move(writer.records);
  for (const SegmentRef& ref : this->segment_refs) {
    gen::SegmentRef& out = wire.segments.emplace_back();
    out.name = ref.name;
    out.sequence = static_cast<std::int64_t>(ref.sequence);
    out.newest_s = ref.newest.count();
  }
  wire.next_sequence = static_cast<std::int64_t>(this->next_sequence);
  return peer::encode(wire);
}

const KeyRecord* Bucket::find(const KeyHash& key,
                              const Archive& archive) const {
  const auto found = this->records.find(key);
  return found != this->records.end() ? &found->second : archive.find(key);
}

Verdict Bucket::apply(const BucketOperation& operation,
                      const Archive& archive,
                      std::chrono::seconds now) {
  const KeyRecord* known = this->find(operation.record.key, archive);
  switch (operation.kind) {
    case OperationKind::kClaim:
      return this->claim(known, operation.record, now);
    case OperationKind::kRecord:
      return this->settle(known, operation.record);
    case OperationKind::kClose:
      return this->close(known, operation.record, now);
  }
  return {};
}

Verdict Bucket::claim(const KeyRecord* known,
                      const KeyRecord& wanted,
                      std::chrono::seconds now) {
  if (known != nullptr) {
    if (known->state == RecordState::kClaimed && known->claim == wanted.claim) {
      return {VerdictKind::kGranted, *known};
    }
    // A released claim is dead: its own executor gave it up. Were a late copy
    // of it granted again, the key would wait for one who never comes.
    const bool free = known->state == RecordState::kReleased &&
                      known->body_hash == wanted.body_hash &&
                      !(known->claim == wanted.claim);
    if (!free) {
      return {VerdictKind::kExists, *known};
    }
  }
  KeyRecord record = wanted;
  record.state = RecordState::kClaimed;
  record.created = now;
  return this->store(VerdictKind::kGranted, std::move(record));
}

Verdict Bucket::settle(const KeyRecord* known, const KeyRecord& outcome) {
  if (known == nullptr) {
    return {VerdictKind::kAbsent, {}};
  }
  if (!(known->claim == outcome.claim)) {
    return {VerdictKind::kExists, *known};
  }
  // "Unknown" may turn out to have run. It never turns into "released": whoever
  // says so has forgotten the claim, and the key would be run a second time.
  const bool allowed = known->state == RecordState::kClaimed ||
                       (known->state == RecordState::kUnknown &&
                        outcome.state == RecordState::kRun);
  if (!allowed) {
    return {known->state == outcome.state ? VerdictKind::kApplied
                                          : VerdictKind::kExists,
            *known};
  }
  KeyRecord record = *known;
  record.state = outcome.state;
  record.shard = outcome.shard;
  record.result = outcome.result;
  if (is_final(record.state)) {
    record.executor = {};
  }
  return this->store(VerdictKind::kApplied, std::move(record));
}

Verdict Bucket::close(const KeyRecord* known,
                      const KeyRecord& wanted,
                      std::chrono::seconds now) {
  if (known != nullptr && known->state != RecordState::kReleased) {
    return {VerdictKind::kExists, *known};
  }
  KeyRecord record = known != nullptr ? *known : KeyRecord{};
  record.key = wanted.key;
  record.state = RecordState::kClosed;
  record.executor = {};
  record.created = now;
  return this->store(VerdictKind::kExists, std::move(record));
}

Verdict Bucket::store(VerdictKind kind, KeyRecord record) {
  KeyRecord& slot = this->records[record.key];
  if (slot.key == record.key) {
    this->size_bytes -= std::min(this->size_bytes, stored_bytes(slot));
  }
  this->size_bytes += stored_bytes(record);
  slot = record;
  this->is_changed = true;
  return {kind, std::move(record)};
}

void Bucket::forget(std::chrono::seconds oldest) {
  const auto segments = std::erase_if(
      this->segment_refs,
      [oldest](const SegmentRef& ref) { return ref.newest < oldest; });
  std::size_t freed = 0;
  const auto forgotten = std::erase_if(this->records, [&](const auto& entry) {
    const bool old = entry.second.created < oldest;
    freed += old ? stored_bytes(entry.second) : 0;
    return old;
  });
  this->size_bytes -= std::min(this->size_bytes, freed);
  this->is_changed = this->is_changed || segments > 0 || forgotten > 0;
}

std::vector<KeyRecord> Bucket::take_for_segment(std::size_t most_bytes) {
  std::vector<KeyRecord> ordered;
  for (auto& [key, record] : std::exchange(this->records, {})) {
    ordered.push_back(std::move(record));
  }
  std::ranges::sort(ordered, [](const KeyRecord& a, const KeyRecord& b) {
    const bool a_moves = a.state == RecordState::kClaimed;
    const bool b_moves = b.state == RecordState::kClaimed;
    return a_moves != b_moves ? b_moves : a.created < b.created;
  });
  std::size_t left = this->size_bytes;
  std::vector<KeyRecord> taken;
  this->size_bytes = 0;
  for (KeyRecord& record : ordered) {
    const std::size_t size = stored_bytes(record);
    if (record.state != RecordState::kClaimed || left > most_bytes) {
      taken.push_back(std::move(record));
    } else {
      this->size_bytes += size;
      const KeyHash key = record.key;
      this->records.emplace(key, std::move(record));
    }
    left -= std::min(left, size);
  }
  return taken;
}

SegmentRef Bucket::add_segment(std::string name,
                               const std::vector<KeyRecord>& records) {
  SegmentRef ref{std::move(name), this->next_sequence++, {}};
  for (const KeyRecord& record : records) {
    ref.newest = std::max(ref.newest, record.created);
  }
  this->segment_refs.push_back(ref);
  this->is_changed = true;
  return ref;
}

}  // namespace ibismux::reservation
