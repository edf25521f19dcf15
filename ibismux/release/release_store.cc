#include "ibismux/release/release_store.h"

#include <mutex>
#include <utility>

#include "ibismux/release/compiler.h"
#include "ibismux/release/part_finder.h"
#include "ibismux/release/release_contents.h"

namespace ibismux::release {

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
    Result<ReleaseParts> parts =
        PartFinder(base->head, base->parts, chunks).find(head);
    if (!parts) {
      return tl::unexpected<Error>(parts.error());
    }
    auto contents = make_contents(*base, std::move(head), std::move(*parts));
    if (!contents) {
      return tl::unexpected<Error>(contents.error());
    }
    this->put_in_force(*std::move(contents), bytes);
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
  const std::string* bytes = find_part(contents->head, contents->parts, name);
  return bytes == nullptr ? std::nullopt : std::optional(*bytes);
}

std::vector<std::string> ReleaseStore::written_since(
    Generation have,
    const std::string& index) const {
  const std::shared_ptr<const ReleaseContents> contents = this->contents();
  return release::written_since(contents->head, contents->parts, have, index);
}

Result<std::vector<std::string>> ReleaseStore::missing(
    const std::string& head,
    const std::vector<std::string>& fetched) const {
  const Result<Head> decoded = decode_head(head);
  if (!decoded) {
    return tl::unexpected<Error>(decoded.error());
  }
  const std::shared_ptr<const ReleaseContents> contents = this->contents();
  return PartFinder(contents->head, contents->parts, fetched).missing(*decoded);
}

Result<bool> ReleaseStore::offer(const std::string& head,
                                 const std::vector<std::string>& chunks) {
  return this->impl->offer(head, chunks);
}

void ReleaseStore::on_change(Listener listener) {
  this->impl->listener = std::move(listener);
}

}  // namespace ibismux::release
