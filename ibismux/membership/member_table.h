#ifndef IBISMUX_MEMBERSHIP_MEMBER_TABLE_H_
#define IBISMUX_MEMBERSHIP_MEMBER_TABLE_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "ibismux/base/time.h"
#include "ibismux/membership/member_record.h"

namespace ibismux::membership {

/// The newest statement about each member, this daemon included, with digests
/// by which two tables find out cheaply whether and where they differ.
///
/// Failed members stay for a while as tombstones, so that an old statement
/// can't bring them back. Not thread safe.
class MemberTable {
 public:
  static constexpr std::size_t kBuckets = 64;
  using Digests = std::array<std::uint64_t, kBuckets>;

  struct Row {
    MemberRecord record;
    TimePoint since;  ///< When this statement was taken.
  };
  using Rows = std::map<std::string, Row, std::less<>>;

  MemberTable(const MemberRecord& self, TimePoint now);

  /// Takes `record` if it supersedes what is known. @return Whether it did.
  bool apply(const MemberRecord& record, TimePoint now);

  /// Drops tombstones taken before `before`.
  void drop_tombstones(TimePoint before);

  [[nodiscard]] const Rows& rows() const noexcept { return this->members; }
  [[nodiscard]] const Row* find(const std::string& name) const;
  [[nodiscard]] const MemberRecord& self() const;

  /// @name Comparing tables
  /// @{
  [[nodiscard]] std::uint64_t digest() const noexcept;
  [[nodiscard]] const Digests& digests() const noexcept {
    return this->buckets;
  }
  /// All records of a bucket, tombstones included.
  [[nodiscard]] std::vector<MemberRecord> bucket(std::size_t index) const;
  /// @}

 private:
  static std::size_t bucket_of(const std::string& name) noexcept;
  void toggle(const MemberRecord& record) noexcept;

  std::string own_name;
  Rows members;
  Digests buckets{};
};

}  // namespace ibismux::membership

#endif  // IBISMUX_MEMBERSHIP_MEMBER_TABLE_H_
