#ifndef IBISMUX_RELEASE_AUDIT_TRAIL_H_
#define IBISMUX_RELEASE_AUDIT_TRAIL_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/base/task.h"
#include "ibismux/release/head.h"
#include "ibismux/store/object_store.h"

namespace ibismux::release {

/// Entries of the audit trail by their sequence.
using AuditEntries = std::map<std::uint64_t, Change>;

/// How many changes one object of the collection `audit` holds.
inline constexpr std::uint64_t kChangesPerAuditChunk = 128;

/// The name of the object that holds change `sequence`. Thread safe.
[[nodiscard]] std::string audit_chunk_name(std::uint64_t sequence);

/// One entry as operators see it. Thread safe.
[[nodiscard]] boost::json::object change_to_json(const Change& change);

/// JSON of one audit chunk, and back. Thread safe.
[[nodiscard]] std::string encode_audit(const AuditEntries& entries);
[[nodiscard]] Result<AuditEntries> decode_audit(std::string_view text);

/// The audit trail in the platform's store.
///
/// A change's place follows from its sequence, which the head gives out, so
/// writing one again changes nothing: after a lost answer, or in place of a
/// publisher that died between the head and the trail, whoever comes next just
/// records the head's recent changes.
///
/// Belongs to one event loop; not thread safe.
class AuditTrail {
 public:
  /// @param store Outlives this.
  AuditTrail(store::ObjectStore& store, std::chrono::milliseconds timeout);

  /// Sees to it that `changes`, in order of sequence, are in the trail.
  /// Errors as of `ObjectStore`; those recorded before it stay recorded.
  [[nodiscard]] Task<Result<void>> record(std::vector<Change> changes);

  /// All changes up to this sequence are in the trail, as far as is known.
  [[nodiscard]] std::uint64_t recorded() const noexcept {
    return this->recorded_to;
  }

  /// The changes of the chunk that holds `sequence`; none where it is absent.
  [[nodiscard]] Task<Result<AuditEntries>> read_chunk(std::uint64_t sequence);

 private:
  struct Loaded {
    std::string name;
    store::Version version = 0;
    AuditEntries entries;
  };

  /// The chunk `name` as last written or read; read again if it isn't that one.
  [[nodiscard]] Task<Result<void>> load(std::string name);
  [[nodiscard]] Task<Result<void>> merge(std::string name,
                                         AuditEntries entries);
  [[nodiscard]] Task<Result<void>> write(AuditEntries merged);
  [[nodiscard]] TimePoint deadline() const;

  store::ObjectStore& store;
  std::chrono::milliseconds timeout;
  Loaded loaded;
  std::uint64_t recorded_to = 0;
};

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_AUDIT_TRAIL_H_
