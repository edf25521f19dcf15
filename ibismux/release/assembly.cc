#include "ibismux/release/assembly.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace ibismux::release {
namespace {

constexpr std::size_t kMostBuckets = 32768;
// Well below the megabyte that the platform takes, since one change may add to
// a chunk before it is split.
constexpr std::size_t kMostChunkBytes = 512 * 1024;

std::size_t buckets_for(std::size_t objects,
                        std::size_t before,
                        const ReleaseLayout& layout) {
  std::size_t buckets = std::max(before, layout.fewest_chunks);
  if (objects <= 2 * layout.objects_per_chunk * buckets) {
    return buckets;
  }
  while (objects > layout.objects_per_chunk * buckets &&
         buckets < kMostBuckets) {
    buckets *= 2;
  }
  return buckets;
}

std::vector<Chunk> distribute(const ObjectSet& objects,
                              const RejectionSet& rejections,
                              std::size_t buckets) {
  std::vector<Chunk> chunks(buckets);
  for (const auto& entry : objects) {
    ObjectSet& bucket = chunks[bucket_of(entry.first, buckets)].objects;
    bucket.insert(bucket.end(), entry);
  }
  for (const auto& entry : rejections) {
    chunks[bucket_of(entry.first, buckets)].rejections.insert(entry);
  }
  return chunks;
}

bool is_unchanged(const ReleaseContents& base,
                  std::size_t bucket,
                  const Chunk& chunk) {
  const auto& stored = base.parts.chunks[bucket];
  return stored == nullptr ? chunk.empty() : stored->chunk == chunk;
}

/// @return Whether every chunk is small enough.
bool fill(const ReleaseContents& base,
          const std::vector<Chunk>& chunks,
          Assembly& assembly) {
  const bool same_buckets = chunks.size() == base.parts.chunks.size();
  for (std::size_t i = 0; i < chunks.size(); ++i) {
    if (same_buckets && is_unchanged(base, i, chunks[i])) {
      assembly.refs.push_back(base.parts.refs[i]);
      continue;
    }
    ChunkRef ref{assembly.head.generation, ""};
    if (!chunks[i].empty()) {
      std::string bytes = encode_chunk(chunks[i]);
      if (bytes.size() > kMostChunkBytes) {
        return false;
      }
      ref.hash = content_hash(bytes);
      assembly.chunks.push_back({chunk_name(ref), std::move(bytes)});
    }
    assembly.refs.push_back(std::move(ref));
  }
  return true;
}

/// About the square root of the number of chunks, so that head and index chunk
/// are of one size.
std::size_t indexes_for(std::size_t buckets) {
  const auto doublings = static_cast<unsigned>(std::bit_width(buckets)) - 1;
  return std::size_t{1} << (doublings / 2);
}

/// Has the head name the chunks through index chunks.
void put_indexes(const ReleaseContents& base, Assembly& assembly) {
  const std::size_t count = indexes_for(assembly.refs.size());
  const std::size_t run = assembly.refs.size() / count;
  const bool same_runs = base.head.indexes.size() == count;
  for (std::size_t i = 0; i < count; ++i) {
    const auto first =
        assembly.refs.begin() + static_cast<std::ptrdiff_t>(i * run);
    const std::vector<ChunkRef> chunks(
        first, first + static_cast<std::ptrdiff_t>(run));
    if (same_runs && base.parts.indexes[i]->chunks == chunks) {
      assembly.head.indexes.push_back(base.head.indexes[i]);
      continue;
    }
    std::string bytes = encode_index(chunks);
    ChunkRef ref{assembly.head.generation, content_hash(bytes)};
    assembly.chunks.push_back({index_name(ref), std::move(bytes)});
    assembly.head.indexes.push_back(std::move(ref));
  }
}

}  // namespace

Assembly assemble(const ReleaseContents& base,
                  const ObjectSet& objects,
                  const RejectionSet& rejections,
                  const Head& head,
                  const ReleaseLayout& layout) {
  std::size_t buckets = buckets_for(objects.size() + rejections.size(),
                                    base.parts.chunks.size(), layout);
  for (;; buckets *= 2) {
    Assembly assembly{head, {}, {}};
    assembly.head.chunks.clear();
    assembly.head.indexes.clear();
    const bool fits =
        fill(base, distribute(objects, rejections, buckets), assembly);
    if (!fits && buckets < kMostBuckets) {
      continue;
    }
    if (buckets > layout.most_direct_chunks) {
      put_indexes(base, assembly);
    } else {
      assembly.head.chunks = assembly.refs;
    }
    return assembly;
  }
}

}  // namespace ibismux::release
