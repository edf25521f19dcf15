#ifndef IBISMUX_RELEASE_HEAD_H_
#define IBISMUX_RELEASE_HEAD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/base/ids.h"
#include "ibismux/platform/stored_object.h"

namespace ibismux::release {

/// Name of the head in the platform's collection `releases`.
inline constexpr const char* kHeadName = "head";

/// Where a group of objects stands. Its position in the head is its bucket.
struct ChunkRef {
  /// The generation that the chunk was written for. As part of its name it
  /// keeps a chunk from being deleted by one daemon while another, which builds
  /// on an older head, is about to name the same contents again.
  Generation generation = 0;
  std::string hash;  ///< XXH3-128, 32 hexadecimal digits; empty: no objects.

  [[nodiscard]] bool operator==(const ChunkRef&) const = default;
};

/// One accepted change of one object, as the audit trail shows it.
struct Change {
  std::uint64_t sequence = 0;  ///< Position in the audit trail, from 1.
  std::string change_id;
  std::string object;                  ///< kind:name
  platform::Version from_version = 0;  ///< 0: did not exist.
  platform::Version to_version = 0;    ///< 0: deleted.
  std::string who;
  std::int64_t when_ms = 0;  ///< Wall-clock time of the operator's write.
  Generation generation = 0;

  [[nodiscard]] bool operator==(const Change&) const = default;
};

/// The one object whose conditional update makes a release the newest.
struct Head {
  Generation generation = 0;
  std::string publication;  ///< Id of the update that wrote it.
  platform::Version objects_version = 0;
  std::uint64_t change_count = 0;  ///< Sequence of the newest change.
  std::vector<ChunkRef> chunks;    ///< A power of two of them.
  std::vector<Change> recent;      ///< In order of sequence.

  [[nodiscard]] bool operator==(const Head&) const = default;
};

/// Thread safe.
[[nodiscard]] std::string encode_head(const Head& head);

/// kProtocolError where `bytes` are no head. Thread safe.
[[nodiscard]] Result<Head> decode_head(const std::string& bytes);

/// The name of a chunk among peers and in the platform's collection `releases`.
/// Thread safe.
[[nodiscard]] std::string chunk_name(const ChunkRef& chunk);

/// The generation in the name of a chunk; 0 for any other name. Thread safe.
[[nodiscard]] Generation chunk_generation(const std::string& name);

/// XXH3-128 of `bytes`, 32 hexadecimal digits. Thread safe.
[[nodiscard]] std::string content_hash(const std::string& bytes);

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_HEAD_H_
