#include "ibismux/release/housekeeping.h"

#include <utility>

#include "ibismux/release/release_contents.h"

namespace ibismux::release {
namespace {

/// A removal that another daemon made first is as good.
Result<void> settle(const Result<void>& removed) {
  const bool is_gone =
      !removed && (removed.error().kind == ErrorKind::kNotFound ||
                   removed.error().kind == ErrorKind::kConflict);
  return is_gone ? Result<void>() : removed;
}

}  // namespace

Housekeeping::Housekeeping(store::ObjectStore& store,
                           ReleaseStore& releases,
                           PublisherMetrics& metrics,
                           std::chrono::milliseconds timeout,
                           Generation garbage_grace)
    : store(store),
      releases(releases),
      metrics(metrics),
      timeout(timeout),
      audit(store, timeout),
      garbage(garbage_grace) {}

TimePoint Housekeeping::deadline() const {
  return Clock::now() + this->timeout;
}

void Housekeeping::retire(const std::vector<std::string>& names) {
  this->garbage.add(names, this->releases.generation());
}

Task<Result<void>> Housekeeping::run(const ObjectView& view) {
  Result<void> first = co_await this->record();
  Result<void> done = co_await this->remove_tombstones(view);
  first = first ? done : first;
  if (this->sweep_due) {
    done = co_await this->sweep();
    first = first ? done : first;
  }
  done = co_await this->remove_chunks();
  first = first ? done : first;
  co_return first;
}

Task<Result<void>> Housekeeping::record() {
  const auto contents = this->releases.contents();
  std::vector<Change> changes = contents->head.recent;
  co_return co_await this->audit.record(std::move(changes));
}

Task<Result<void>> Housekeeping::remove_tombstones(const ObjectView& view) {
  const auto contents = this->releases.contents();
  for (const auto& [key, observed] : view.objects) {
    // An object that is still in force needs its tombstone: it is the deletion
    // that may be accepted yet.
    if (!observed.record || !observed.record->deleted ||
        contents->objects.contains(key)) {
      continue;
    }
    std::string collection = store::kObjects;
    std::string name = to_string(key);
    Result<void> removed =
        co_await this->store.remove(std::move(collection), std::move(name),
                                    observed.version, this->deadline());
    removed = settle(removed);
    if (!removed) {
      co_return removed;
    }
  }
  co_return Result<void>();
}

Task<Result<void>> Housekeeping::sweep() {
  std::string collection = store::kReleases;
  const Result<store::Listing> listing =
      co_await this->store.list(std::move(collection), this->deadline());
  if (!listing) {
    co_return tl::unexpected<Error>(listing.error());
  }
  this->garbage.sweep(*listing, *this->releases.contents());
  this->sweep_due = false;
  co_return Result<void>();
}

Task<Result<void>> Housekeeping::remove_chunks() {
  const auto contents = this->releases.contents();
  std::vector<std::string> names = this->garbage.due(*contents);
  for (std::string& name : names) {
    std::string chunk = name;
    const Result<void> removed = co_await this->remove_chunk(std::move(chunk));
    if (!removed) {
      this->garbage.add(names, 0);
      co_return removed;
    }
    this->metrics.collected_garbage();
  }
  co_return Result<void>();
}

Task<Result<void>> Housekeeping::remove_chunk(std::string name) {
  std::string collection = store::kReleases;
  std::string wanted = name;
  const Result<store::StoredObject> object = co_await this->store.get(
      std::move(collection), std::move(wanted), this->deadline());
  if (!object) {
    co_return settle(tl::unexpected<Error>(object.error()));
  }
  collection = store::kReleases;
  const Result<void> removed =
      co_await this->store.remove(std::move(collection), std::move(name),
                                  object->version, this->deadline());
  co_return settle(removed);
}

}  // namespace ibismux::release
