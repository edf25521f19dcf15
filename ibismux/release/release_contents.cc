#include "ibismux/release/release_contents.h"

#include <utility>

#include "ibismux/release/validator.h"

namespace ibismux::release {
namespace {

using ChunkPointer = std::shared_ptr<const StoredChunk>;

void add(ReleaseContents& contents, const ChunkPointer& stored) {
  if (stored != nullptr) {
    const Chunk& chunk = stored->chunk;
    contents.objects.insert(chunk.objects.begin(), chunk.objects.end());
    contents.rejections.insert(chunk.rejections.begin(),
                               chunk.rejections.end());
  }
}

void take_out(ReleaseContents& contents, const ChunkPointer& stored) {
  if (stored != nullptr) {
    for (const auto& [key, object] : stored->chunk.objects) {
      contents.objects.erase(key);
    }
    for (const auto& [key, rejection] : stored->chunk.rejections) {
      contents.rejections.erase(key);
    }
  }
}

}  // namespace

Result<std::shared_ptr<const ReleaseContents>>
make_contents(const ReleaseContents& base, Head head, ReleaseParts parts) {
  auto contents = std::make_shared<ReleaseContents>();
  // Another number of buckets shares no chunk with the base.
  const auto& chunks = parts.chunks;
  const bool builds_on = chunks.size() == base.parts.chunks.size();
  if (builds_on) {
    contents->objects = base.objects;
    contents->rejections = base.rejections;
  }
  for (std::size_t i = 0; i < chunks.size(); ++i) {
    if (!builds_on) {
      add(*contents, chunks[i]);
    } else if (chunks[i] != base.parts.chunks[i]) {
      take_out(*contents, base.parts.chunks[i]);
      add(*contents, chunks[i]);
    }
  }
  contents->head = std::move(head);
  contents->parts = std::move(parts);
  const std::vector<Violation> violations = validate(contents->objects);
  if (!violations.empty()) {
    return fail(ErrorKind::kInvalidRequest, violations.front().message);
  }
  return contents;
}

}  // namespace ibismux::release
