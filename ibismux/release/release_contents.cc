#include "ibismux/release/release_contents.h"

#include <utility>

#include "ibismux/release/validator.h"

namespace ibismux::release {

Result<std::shared_ptr<const ReleaseContents>> make_contents(
    Head head,
    std::vector<std::shared_ptr<const StoredChunk>> chunks) {
  auto contents = std::make_shared<ReleaseContents>();
  contents->head = std::move(head);
  contents->chunks = std::move(chunks);
  for (const auto& stored : contents->chunks) {
    if (stored != nullptr) {
      contents->objects.insert(stored->chunk.objects.begin(),
                               stored->chunk.objects.end());
      contents->rejections.insert(stored->chunk.rejections.begin(),
                                  stored->chunk.rejections.end());
    }
  }
  const std::vector<Violation> violations = validate(contents->objects);
  if (!violations.empty()) {
    return fail(ErrorKind::kInvalidRequest, violations.front().message);
  }
  return contents;
}

}  // namespace ibismux::release
