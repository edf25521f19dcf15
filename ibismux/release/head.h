#ifndef IBISMUX_RELEASE_HEAD_H_
#define IBISMUX_RELEASE_HEAD_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/base/ids.h"
#include "ibismux/release/chunk_ref.h"
#include "ibismux/store/stored_object.h"

namespace ibismux::release {

/// Name of the head in the platform's collection `releases`.
inline constexpr const char* kHeadName = "head";

/// How many audited changes a head still shows, for operators' tools that watch
/// and come a few generations late; those that are later list again. Each moves
/// about 100 bytes to every daemon with every change.
inline constexpr std::size_t kRecentChanges = 8;

/// One accepted change of one object, as the audit trail shows it.
struct Change {
  std::uint64_t sequence = 0;  ///< Position in the audit trail, from 1.
  std::string change_id;
  std::string object;               ///< kind:name
  store::Version from_version = 0;  ///< 0: did not exist.
  store::Version to_version = 0;    ///< 0: deleted.
  std::string who;
  std::int64_t when_ms = 0;  ///< Wall-clock time of the operator's write.
  Generation generation = 0;

  [[nodiscard]] bool operator==(const Change&) const = default;
};

/// The one object whose conditional update makes a release the newest.
struct Head {
  Generation generation = 0;
  std::string publication;  ///< Id of the update that wrote it.
  store::Version objects_version = 0;
  std::uint64_t change_count = 0;  ///< Sequence of the newest change.
  /// By bucket, a power of two of them; none where there are indexes.
  std::vector<ChunkRef> chunks;
  /// Index chunks, a power of two of them, each for an equal run of buckets.
  std::vector<ChunkRef> indexes;
  std::vector<Change> recent;  ///< In order of sequence.

  [[nodiscard]] bool operator==(const Head&) const = default;
};

/// Thread safe.
[[nodiscard]] std::string encode_head(const Head& head);

/// kProtocolError where `bytes` are no head. Thread safe.
[[nodiscard]] Result<Head> decode_head(const std::string& bytes);

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_HEAD_H_
