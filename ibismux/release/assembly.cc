#include "ibismux/release/assembly.h"

#include <algorithm>
#include <utility>

namespace ibismux::release {
namespace {

// A change of one object moves one chunk and one head. With n objects of 150
// bytes in chunks of k, and 20 bytes of head a chunk, that is 150 k + 20 n / k
// bytes; at the 30,000 objects to design for it is least at k = 63.
constexpr std::size_t kObjectsPerChunk = 64;
constexpr std::size_t kFewestBuckets = 16;
constexpr std::size_t kMostBuckets = 32768;
// Well below the megabyte that the platform takes, since one change may add to
// a chunk before it is split.
constexpr std::size_t kMostChunkBytes = 512 * 1024;

std::size_t buckets_for(std::size_t objects, std::size_t before) {
  std::size_t buckets = std::max(before, kFewestBuckets);
  if (objects <= 2 * kObjectsPerChunk * buckets) {
    return buckets;
  }
  while (objects > kObjectsPerChunk * buckets && buckets < kMostBuckets) {
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
  const auto& stored = base.chunks[bucket];
  return stored == nullptr ? chunk.empty() : stored->chunk == chunk;
}

/// @return Whether every chunk is small enough.
bool fill(const ReleaseContents& base,
          const std::vector<Chunk>& chunks,
          Assembly& assembly) {
  const bool same_buckets = chunks.size() == base.chunks.size();
  for (std::size_t i = 0; i < chunks.size(); ++i) {
    if (same_buckets && is_unchanged(base, i, chunks[i])) {
      assembly.head.chunks.push_back(base.head.chunks[i]);
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
    assembly.head.chunks.push_back(std::move(ref));
  }
  return true;
}

}  // namespace

Assembly assemble(const ReleaseContents& base,
                  const ObjectSet& objects,
                  const RejectionSet& rejections,
                  const Head& head) {
  std::size_t buckets =
      buckets_for(objects.size() + rejections.size(), base.chunks.size());
  for (;; buckets *= 2) {
    Assembly assembly{head, {}};
    assembly.head.chunks.clear();
    const bool fits =
        fill(base, distribute(objects, rejections, buckets), assembly);
    if (fits || buckets >= kMostBuckets) {
      return assembly;
    }
  }
}

}  // namespace ibismux::release
