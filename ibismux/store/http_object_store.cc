#include "ibismux/store/http_object_store.h"

#include <utility>

#include "ibismux/store/store_exchange.h"
#include "ibismux/store/wire.h"

namespace ibismux::store {

namespace {

constexpr int kGoneStatus = 410;

/// Makes the revisions of an answer versions.
void set_era(std::uint64_t era, StoredObject& object) noexcept {
  object.version = make_version(era, object.version);
}

}  // namespace

/// What a call needs that may outlive the store.
struct HttpObjectStore::Impl {
  using Self = std::shared_ptr<const Impl>;
  /// How a part of a listing is asked for.
  using PartRequest = http::Request (StoreDialect::*)(std::string_view,
                                                      std::string_view) const;

  /// Sends a `request` for one object, and reads the answer.
  static Task<Result<StoredObject>> read_object(Self self,
                                                std::string collection,
                                                std::string name,
                                                http::Request request,
                                                TimePoint deadline);
  /// Reads a listing part by part.
  static Task<Result<Listing>> read_listing(Self self,
                                            std::string collection,
                                            PartRequest part,
                                            TimePoint deadline);
  /// Reads the answer to a question for the changes after `since`.
  /// @param oldest The answer must not be of an earlier version.
  [[nodiscard]] Result<WatchBatch> read_changes(
      const std::string& collection,
      Version since,
      Version oldest,
      const StoreAnswer& answer) const;
  /// A batch that says that the history after `since` is gone.
  [[nodiscard]] static WatchBatch compacted_batch(Version since);
  /// Sends a write on the condition that the object is at `expected`.
  static Task<Result<StoreAnswer>> conditional_write(Self self,
                                                     http::Request request,
                                                     Version expected,
                                                     TimePoint deadline);

  const std::shared_ptr<const StoreDialect> dialect;
  const std::shared_ptr<StoreExchange> calls;
};

HttpObjectStore::HttpObjectStore(IoPool& pool,
                                 PlatformSettings settings,
                                 std::unique_ptr<const StoreDialect> dialect,
                                 prometheus::Registry& registry,
                                 std::uint64_t seed) {
  const std::shared_ptr<const StoreDialect> shared = std::move(dialect);
  this->impl = std::make_shared<const Impl>(
      Impl{shared, std::make_shared<StoreExchange>(pool, std::move(settings),
                                                   shared, registry, seed)});
}

HttpObjectStore::~HttpObjectStore() = default;

Task<Result<StoredObject>> HttpObjectStore::get(std::string collection,
                                                std::string name,
                                                TimePoint deadline) {
  auto request = this->impl->dialect->get(collection, name);
  return Impl::read_object(this->impl, std::move(collection), std::move(name),
                           std::move(request), deadline);
}

Task<Result<StoredObject>> HttpObjectStore::stale_get(std::string collection,
                                                      std::string name,
                                                      TimePoint deadline) {
  auto request = this->impl->dialect->stale_get(collection, name);
  return Impl::read_object(this->impl, std::move(collection), std::move(name),
                           std::move(request), deadline);
}

Task<Result<StoredObject>> HttpObjectStore::Impl::read_object(
    Self self,
    std::string collection,
    std::string name,
    http::Request request,
    TimePoint deadline) {
  const auto answer = co_await StoreExchange::timed_call(
      self->calls, CallKind::kRead, std::move(request), deadline);
  if (!answer) {
    co_return tl::unexpected(answer.error());
  }
  auto object = self->dialect->read_object(collection, name, answer->response);
  if (object) {
    set_era(answer->era, *object);
  }
  co_return object;
}

Task<Result<Listing>> HttpObjectStore::list(std::string collection,
                                            TimePoint deadline) {
  return Impl::read_listing(this->impl, std::move(collection),
                            &StoreDialect::list, deadline);
}

Task<Result<Listing>> HttpObjectStore::stale_list(std::string collection,
                                                  TimePoint deadline) {
  return Impl::read_listing(this->impl, std::move(collection),
                            &StoreDialect::stale_list, deadline);
}

Task<Result<Listing>> HttpObjectStore::Impl::read_listing(
    Self self,
    std::string collection,
    PartRequest part,
    TimePoint deadline) {
  Listing whole;
  std::string after;
  for (;;) {
    auto request = ((*self->dialect).*part)(collection, after);
    const auto answer = co_await StoreExchange::timed_call(
        self->calls, CallKind::kRead, std::move(request), deadline);
    if (!answer) {
      co_return tl::unexpected(answer.error());
    }
    auto page = self->dialect->read_listing(collection, answer->response);
    if (!page) {
      co_return tl::unexpected(std::move(page.error()));
    }
    if (!after.empty() && answer->era != era_of(whole.version)) {
      co_return fail(ErrorKind::kPlatformUnavailable,
                     "restored while it was listed");
    }
    // The whole is as old as its first part: a watch from there on repeats
    // what changed while the other parts were read, and misses nothing.
    if (after.empty()) {
      whole.version = make_version(answer->era, page->listing.version);
    }
    for (StoredObject& object : page->listing.objects) {
      set_era(answer->era, object);
      whole.objects.push_back(std::move(object));
    }
    if (!page->next_after) {
      co_return whole;
    }
    if (*page->next_after <= after) {
      co_return fail(ErrorKind::kProtocolError, "a listing that goes back");
    }
    after = *std::move(page->next_after);
  }
}

Task<Result<WatchBatch>> HttpObjectStore::watch(
    std::string collection,
    Version since,
    std::chrono::milliseconds wait) {
  if (this->state() == PlatformState::kDown) {
    // This watch is to be the probe: one that waits at a platform that is up
    // again but quiet would leave the other calls refused meanwhile.
    wait = std::chrono::milliseconds::zero();
  }
  if (this->impl->calls->is_of_earlier_era(since)) {
    co_return Impl::compacted_batch(since);
  }
  auto request =
      this->impl->dialect->watch(collection, revision_of(since), wait);
  const auto answer = co_await StoreExchange::watch(this->impl->calls,
                                                    std::move(request), wait);
  if (!answer) {
    co_return tl::unexpected(answer.error());
  }
  co_return this->impl->read_changes(collection, since, since, *answer);
}

Task<Result<WatchBatch>> HttpObjectStore::stale_changes(std::string collection,
                                                        Version since,
                                                        TimePoint deadline) {
  if (this->impl->calls->is_of_earlier_era(since)) {
    co_return Impl::compacted_batch(since);
  }
  auto request =
      this->impl->dialect->stale_changes(collection, revision_of(since));
  const auto answer = co_await StoreExchange::timed_call(
      this->impl->calls, CallKind::kRead, std::move(request), deadline);
  if (!answer) {
    co_return tl::unexpected(answer.error());
  }
  WatchBatch nothing_newer;
  nothing_newer.version = since;
  if (answer->era < era_of(since)) {
    co_return nothing_newer;
  }
  auto batch = this->impl->read_changes(collection, since, 0, *answer);
  if (batch && batch->version < since) {
    co_return nothing_newer;
  }
  co_return batch;
}

WatchBatch HttpObjectStore::Impl::compacted_batch(Version since) {
  WatchBatch gone;
  gone.version = since;
  gone.compacted = true;
  return gone;
}

Result<WatchBatch> HttpObjectStore::Impl::read_changes(
    const std::string& collection,
    Version since,
    Version oldest,
    const StoreAnswer& answer) const {
  // A store that was restored takes a watch up once it has given out the
  // revision again, and tells nothing of what it holds instead of the lost.
  if (answer.response.status == kGoneStatus || answer.era != era_of(since)) {
    return compacted_batch(since);
  }
  auto batch = this->dialect->read_watch(collection, revision_of(oldest),
                                         answer.response);
  if (batch) {
    batch->version = make_version(answer.era, batch->version);
    for (WatchBatch::Event& event : batch->events) {
      set_era(answer.era, event.object);
    }
  }
  return batch;
}

Task<Result<std::vector<HostEntry>>> HttpObjectStore::hosts(
    TimePoint deadline) {
  auto request = this->impl->dialect->hosts();
  if (!request) {
    co_return fail(ErrorKind::kNotFound, "this API has no list of hosts");
  }
  const auto answer = co_await StoreExchange::timed_call(
      this->impl->calls, CallKind::kRead, *std::move(request), deadline);
  if (!answer) {
    co_return tl::unexpected(answer.error());
  }
  co_return this->impl->dialect->read_hosts(answer->response);
}

Task<Result<StoreAnswer>> HttpObjectStore::Impl::conditional_write(
    Self self,
    http::Request request,
    Version expected,
    TimePoint deadline) {
  if (self->calls->is_of_earlier_era(expected)) {
    co_return tl::unexpected(Error{ErrorKind::kConflict,
                                   "the store was restored since",
                                   Execution::kNotRun});
  }
  auto answer = co_await StoreExchange::timed_call(
      self->calls, CallKind::kWrite, std::move(request), deadline);
  if (answer && expected != 0 && answer->era != era_of(expected)) {
    // The condition named a revision of the former era, which may be another
    // write's now.
    co_return fail(ErrorKind::kPlatformUnavailable,
                   "restored since the object was read");
  }
  co_return answer;
}

Task<Result<Version>> HttpObjectStore::put(std::string collection,
                                           std::string name,
                                           std::string value,
                                           Version expected,
                                           TimePoint deadline) {
  if (value.size() > wire::kMostValueBytes ||
      name.size() > wire::kMostNameBytes) {
    co_return tl::unexpected(Error{ErrorKind::kTooLarge,
                                   "over the platform's limit: " + name,
                                   Execution::kNotRun});
  }
  auto request = this->impl->dialect->put(collection, name, std::move(value),
                                          revision_of(expected));
  const auto answer = co_await Impl::conditional_write(
      this->impl, std::move(request), expected, deadline);
  if (!answer) {
    co_return tl::unexpected(answer.error());
  }
  const auto revision = this->impl->dialect->read_written(answer->response);
  if (!revision) {
    co_return tl::unexpected(revision.error());
  }
  const Version version = make_version(answer->era, *revision);
  if (version <= expected) {
    // It says done, but as a version that can't be: the writer reads back.
    co_return fail(ErrorKind::kProtocolError, "version went back: " + name);
  }
  co_return version;
}

Task<Result<void>> HttpObjectStore::remove(std::string collection,
                                           std::string name,
                                           Version expected,
                                           TimePoint deadline) {
  auto request =
      this->impl->dialect->remove(collection, name, revision_of(expected));
  const auto answer = co_await Impl::conditional_write(
      this->impl, std::move(request), expected, deadline);
  if (!answer) {
    co_return tl::unexpected(answer.error());
  }
  co_return Result<void>();
}

PlatformState HttpObjectStore::state() const noexcept {
  return this->impl->calls->state();
}

void HttpObjectStore::set_members(std::size_t members) {
  StoreExchange::set_members(this->impl->calls, members);
}

}  // namespace ibismux::store
