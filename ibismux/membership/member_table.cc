#include "ibismux/membership/member_table.h"

#include <utility>

namespace ibismux::membership {

MemberTable::MemberTable(const MemberRecord& self, TimePoint now)
    : own_name(self.member.name) {
  this->apply(self, now);
}

bool MemberTable::apply(const MemberRecord& record, TimePoint now) {
  const auto known = this->members.find(record.member.name);
  if (known == this->members.end()) {
    this->members.emplace(record.member.name, Row{record, now});
    this->toggle(record);
    return true;
  }
  if (!supersedes(record, known->second.record)) {
    return false;
  }
  this->toggle(known->second.record);
  known->second = Row{record, now};
  this->toggle(record);
  return true;
}

void MemberTable::drop_tombstones(TimePoint before) {
  std::erase_if(this->members, [before](const auto& entry) {
    const Row& row = entry.second;
    return row.record.member.state == Member::State::kFailed &&
           row.since < before;
  });
}

const MemberTable::Row* MemberTable::find(const std::string& name) const {
  const auto found = this->members.find(name);
  return found == this->members.end() ? nullptr : &found->second;
}

const MemberRecord& MemberTable::self() const {
  return this->members.find(this->own_name)->second.record;
}

std::uint64_t MemberTable::digest() const noexcept {
  std::uint64_t all = 0;
  for (const std::uint64_t bucket : this->buckets) {
    all ^= bucket;
  }
  return all;
}

std::vector<MemberRecord> MemberTable::bucket(std::size_t index) const {
  std::vector<MemberRecord> records;
  for (const auto& [name, row] : this->members) {
    if (bucket_of(name) == index) {
      records.push_back(row.record);
    }
  }
  return records;
}

std::size_t MemberTable::bucket_of(const std::string& name) noexcept {
  return name_hash(name, 1) % kBuckets;
}

void MemberTable::toggle(const MemberRecord& record) noexcept {
  // A tombstone counts as an absent member: others may have dropped it.
  if (record.member.state != Member::State::kFailed) {
    this->buckets[bucket_of(record.member.name)] ^= fingerprint(record);
  }
}

}  // namespace ibismux::membership
