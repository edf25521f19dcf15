#ifndef IBISMUX_RELEASE_PART_FINDER_H_
#define IBISMUX_RELEASE_PART_FINDER_H_

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/release/release_parts.h"

namespace ibismux::release {

/// Finds what a head names among the parts of another release and what was
/// fetched, by content hash: contents that come back under another generation
/// need not be fetched again, and what doesn't match its hash is not found.
///
/// Not thread safe.
class PartFinder {
 public:
  /// @param head,parts Of the release in force; outlive this.
  /// @param fetched Bytes of chunks and index chunks, in any order; outlive
  /// this.
  PartFinder(const Head& head,
             const ReleaseParts& parts,
             const std::vector<std::string>& fetched);

  /// The names of what `head` names and is not at hand. Chunks under an index
  /// chunk that is missing come to light only once that is fetched.
  /// kProtocolError where an index chunk is none.
  [[nodiscard]] Result<std::vector<std::string>> missing(const Head& head);

  /// All parts of `head`; errors also where one is missing, and as of
  /// `decode_chunk`.
  [[nodiscard]] Result<ReleaseParts> find(const Head& head);

 private:
  using IndexPointer = std::shared_ptr<const IndexChunk>;
  using ChunkPointer = std::shared_ptr<const StoredChunk>;

  /// Fills `parts.refs` and `parts.indexes`. @return The names of the index
  /// chunks that are missing.
  [[nodiscard]] Result<std::vector<std::string>> open_indexes(
      const Head& head,
      ReleaseParts& parts);
  [[nodiscard]] Result<IndexPointer> index(const std::string& hash);
  [[nodiscard]] Result<ChunkPointer> chunk(const std::string& hash);
  [[nodiscard]] bool has_chunk(const std::string& hash) const;
  /// Appends the names of those chunks that are missing.
  void add_missing(const std::vector<ChunkRef>& refs,
                   std::vector<std::string>& names) const;

  std::unordered_map<std::string_view, IndexPointer> indexes;
  std::unordered_map<std::string_view, ChunkPointer> chunks;
  std::unordered_map<std::string, const std::string*> fetched;
};

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_PART_FINDER_H_
