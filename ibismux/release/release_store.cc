#include "ibismux/release/release_store.h"

#include <mutex>
#include <unordered_map>
#include <utility>

#include "ibismux/release/compiler.h"
#include "ibismux/release/release_contents.h"

namespace ibismux::release {
namespace {

using ChunkIndex =
    std::unordered_map<std::string, std::shared_ptr<const StoredChunk>>;

/// The chunks of `contents` by their hashes: contents that come back under
/// another generation need not be fetched again.
ChunkIndex index_of(const ReleaseContents& contents) {
  ChunkIndex index;
  for (std::size_t i = 0; i < contents.chunks.size(); ++i) {
    if (contents.chunks[i] != nullptr) {
      index.emplace(contents.head.chunks[i].hash, contents.chunks[i]);
    }
  }
  return index;
}

}  // namespace

class ReleaseStore::Impl {
 public:
  Impl()
      : releases(std::make_shared<const Release>()),
        newest(std::make_shared<const ReleaseContents>()) {}

  [[nodiscard]] std::shared_ptr<const ReleaseContents> contents() const {
    std::lock_guard lock(this->mutex);
    return this->newest;
  }

  Result<bool> offer(const std::string& bytes,
                     const std::vector<std::string>& chunks) {
    Result<Head> head = decode_head(bytes);
    if (!head) {
      return tl::unexpected<Error>(head.error());
    }
    const Generation generation = head->generation;
    {
      std::lock_guard lock(this->offers);
      if (generation <= this->contents()->head.generation) {
        return false;
      }
      if (Result<void> done = this->swap(std::move(*head), bytes, chunks);
          !done) {
        return tl::unexpected<Error>(done.error());
      }
    }
    if (this->listener) {
      this->listener(generation);
    }
    return true;
  }

  RcuCell<Release> releases;
  Listener listener;
  std::string head_bytes;  ///< Guarded by `mutex`.
  mutable std::mutex mutex;

 private:
  /// Precondition: `offers` is held, and `head` is newer.
  Result<void> swap(Head head,
                    const std::string& bytes,
                    const std::vector<std::string>& chunks) {
    const std::shared_ptr<const ReleaseContents> base = this->contents();
    ChunkIndex index = index_of(*base);
    for (const std::string& chunk : chunks) {
      if (Result<void> added = add(chunk, index); !added) {
        return added;
      }
    }
    std::vector<std::shared_ptr<const StoredChunk>> stored;
    for (const ChunkRef& ref : head.chunks) {
      const auto found = index.find(ref.hash);
      if (found == index.end() && !ref.hash.empty()) {
        return fail(ErrorKind::kProtocolError,
                    "release " + std::to_string(head.generation) + " lacks " +
                        chunk_name(ref));
      }
      stored.push_back(ref.hash.empty() ? nullptr : found->second);
    }
    auto contents = make_contents(*base, std::move(head), std::move(stored));
    if (!contents) {
      return tl::unexpected<Error>(contents.error());
    }
    this->put_in_force(*std::move(contents), bytes);
    return {};
  }

  static Result<void> add(const std::string& bytes, ChunkIndex& index) {
    std::string hash = content_hash(bytes);
    if (index.contains(hash)) {
      return {};
    }
    Result<Chunk> chunk = decode_chunk(bytes);
    if (!chunk) {
      return tl::unexpected<Error>(chunk.error());
    }
    index.emplace(std::move(hash), std::make_shared<const StoredChunk>(
                                       StoredChunk{bytes, std::move(*chunk)}));
    return {};
  }

  void put_in_force(std::shared_ptr<const ReleaseContents> contents,
                    const std::string& bytes) {
    this->releases.write(compile(contents->objects, contents->head.generation));
    std::lock_guard lock(this->mutex);
    this->newest = std::move(contents);
    this->head_bytes = bytes;
  }

  std::shared_ptr<const ReleaseContents> newest;  ///< Guarded by `mutex`.
  std::mutex offers;                              ///< One offer at a time.
};

ReleaseStore::ReleaseStore() : impl(std::make_unique<Impl>()) {}

ReleaseStore::~ReleaseStore() = default;

const RcuCell<Release>& ReleaseStore::releases() const noexcept {
  return this->impl->releases;
}

Generation ReleaseStore::generation() const noexcept {
  return this->impl->releases.read()->generation;
}

std::string ReleaseStore::head() const {
  std::lock_guard lock(this->impl->mutex);
  return this->impl->head_bytes;
}

std::shared_ptr<const ReleaseContents> ReleaseStore::contents() const {
  return this->impl->contents();
}

std::optional<std::string> ReleaseStore::chunk(const std::string& name) const {
  const std::shared_ptr<const ReleaseContents> contents = this->contents();
  for (std::size_t i = 0; i < contents->chunks.size(); ++i) {
    if (contents->chunks[i] != nullptr &&
        chunk_name(contents->head.chunks[i]) == name) {
      return contents->chunks[i]->bytes;
    }
  }
  return std::nullopt;
}

Result<std::vector<std::string>> ReleaseStore::missing(
    const std::string& head) const {
  const Result<Head> decoded = decode_head(head);
  if (!decoded) {
    return tl::unexpected<Error>(decoded.error());
  }
  const ChunkIndex index = index_of(*this->contents());
  std::vector<std::string> names;
  for (const ChunkRef& chunk : decoded->chunks) {
    if (!chunk.hash.empty() && !index.contains(chunk.hash)) {
      names.push_back(chunk_name(chunk));
    }
  }
  return names;
}

Result<bool> ReleaseStore::offer(const std::string& head,
                                 const std::vector<std::string>& chunks) {
  return this->impl->offer(head, chunks);
}

void ReleaseStore::on_change(Listener listener) {
  this->impl->listener = std::move(listener);
}

}  // namespace ibismux::release
