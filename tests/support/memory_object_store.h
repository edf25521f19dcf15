#ifndef TESTS_SUPPORT_MEMORY_OBJECT_STORE_H_
#define TESTS_SUPPORT_MEMORY_OBJECT_STORE_H_

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "ibismux/store/object_store.h"
#include "tests/support/waiting_watches.h"

namespace ibismux::testing {

/// The platform in memory, for tests of what is built on `ObjectStore`.
///
/// Versions, conflicts, the size limit and watches are the platform's. Faults
/// are switched by the test; no call takes time but a watch that waits, and
/// `end_watches()` ends that one at once.
///
///     MemoryObjectStore store;
///     store.lose_answers(1);  // The next write takes effect; nobody is told.
///
/// Thread safe. A call completes on its caller's executor.
class MemoryObjectStore : public store::ObjectStore {
 public:
  using Version = store::Version;
  using Event = store::WatchBatch::Event;

  /// @name ObjectStore
  /// @{
  [[nodiscard]] Task<Result<store::StoredObject>>
  get(std::string collection, std::string name, TimePoint deadline) override {
    (void)deadline;
    std::lock_guard lock(this->mutex);
    ++this->read_calls;
    if (this->refuses_reads()) {
      co_return unavailable(Execution::kNotRun);
    }
    const auto found = this->objects.find({collection, name});
    if (found == this->objects.end()) {
      co_return fail(ErrorKind::kNotFound, collection + "/" + name);
    }
    co_return found->second;
  }

  [[nodiscard]] Task<Result<store::Listing>> list(std::string collection,
                                                  TimePoint deadline) override {
    (void)deadline;
    std::lock_guard lock(this->mutex);
    ++this->read_calls;
    if (this->refuses_reads()) {
      co_return unavailable(Execution::kNotRun);
    }
    store::Listing listing;
    listing.version = this->newest;
    for (const auto& [key, object] : this->objects) {
      if (key.first == collection) {
        listing.objects.push_back(object);
      }
    }
    co_return listing;
  }

  [[nodiscard]] Task<Result<store::WatchBatch>> watch(
      std::string collection,
      Version since,
      std::chrono::milliseconds wait) override {
    auto executor = co_await boost::asio::this_coro::executor;
    auto waiter = std::make_shared<WaitingWatches::Waiter>(executor);
    {
      std::lock_guard lock(this->mutex);
      ++this->watch_calls;
      if (this->refuses_reads()) {
        co_return unavailable(Execution::kNotRun);
      }
      auto batch = this->batch_since(collection, since);
      if (batch.compacted || !batch.events.empty() || wait.count() <= 0) {
        co_return batch;
      }
      waiter->timer.expires_after(wait);
      this->waiters.add(waiter, collection);
    }
    co_await waiter->timer.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
    std::lock_guard lock(this->mutex);
    this->waiters.remove(*waiter);
    if (this->refuses_reads()) {
      co_return unavailable(Execution::kNotRun);
    }
    co_return this->batch_since(collection, since);
  }

  [[nodiscard]] Task<Result<std::vector<store::HostEntry>>> hosts(
      TimePoint deadline) override {
    (void)deadline;
    std::lock_guard lock(this->mutex);
    ++this->read_calls;
    if (this->refuses_reads()) {
      co_return unavailable(Execution::kNotRun);
    }
    co_return this->host_list;
  }

  [[nodiscard]] Task<Result<Version>> put(std::string collection,
                                          std::string name,
                                          std::string value,
                                          Version expected,
                                          TimePoint deadline) override {
    (void)deadline;
    this->run_before_write();
    std::lock_guard lock(this->mutex);
    co_return this->write(collection, name, std::move(value), expected, false);
  }

  [[nodiscard]] Task<Result<void>> remove(std::string collection,
                                          std::string name,
                                          Version expected,
                                          TimePoint deadline) override {
    (void)deadline;
    this->run_before_write();
    std::lock_guard lock(this->mutex);
    auto written = this->write(collection, name, {}, expected, true);
    if (!written) {
      co_return tl::unexpected(written.error());
    }
    co_return Result<void>();
  }
  /// @}

  /// @name Faults
  /// @{

  /// Down: every call is refused, waiting watches end.
  void set_outage(bool down) {
    std::lock_guard lock(this->mutex);
    this->is_down = down;
    this->waiters.wake_all();
  }

  /// Reads and watches are refused, writes work.
  void set_reads_failing(bool failing) {
    std::lock_guard lock(this->mutex);
    this->reads_failing = failing;
    this->waiters.wake_all();
  }

  /// The next `count` writes that would succeed take effect, and their writer
  /// gets kPlatformUnavailable with `Execution::kUnknown`.
  void lose_answers(std::size_t count) {
    std::lock_guard lock(this->mutex);
    this->answers_to_lose = count;
  }

  /// The next `count` writes do not take effect, and their writer gets the very
  /// same error as from a lost answer.
  void lose_requests(std::size_t count) {
    std::lock_guard lock(this->mutex);
    this->requests_to_lose = count;
  }

  /// Watches don't hear of writes any more; they end with no events.
  void set_watch_silent(bool silent) {
    std::lock_guard lock(this->mutex);
    this->watch_silent = silent;
    this->waiters.wake_all();
  }

  /// Forgets the history up to now: an older watch gets `compacted`.
  void compact() {
    std::lock_guard lock(this->mutex);
    this->compacted_to = this->newest;
    this->history.clear();
    this->waiters.wake_all();
  }

  /// The next watch of the event's collection begins with `event`, as when an
  /// old one comes late or twice.
  void inject_event(Event event) {
    std::lock_guard lock(this->mutex);
    this->injected.push_back(std::move(event));
    this->waiters.wake_all();
  }

  /// `hook` runs once, before the next write is looked at: the place for what
  /// a rival does between this writer's read and its write.
  void before_next_write(std::function<void()> hook) {
    std::lock_guard lock(this->mutex);
    this->write_hook = std::move(hook);
  }
  /// @}

  /// @name The test's own hand
  /// @{

  /// Writes at once, whatever the version and the faults.
  Version force_put(const std::string& collection,
                    const std::string& name,
                    std::string value) {
    std::lock_guard lock(this->mutex);
    return this->apply(collection, name, std::move(value), false);
  }

  /// Deletes at once, whatever the version and the faults.
  Version force_remove(const std::string& collection, const std::string& name) {
    std::lock_guard lock(this->mutex);
    return this->apply(collection, name, {}, true);
  }

  /// The object, or one with version 0; faults don't matter.
  [[nodiscard]] store::StoredObject peek(const std::string& collection,
                                         const std::string& name) const {
    std::lock_guard lock(this->mutex);
    const auto found = this->objects.find({collection, name});
    return found == this->objects.end() ? store::StoredObject{} : found->second;
  }

  void set_hosts(std::vector<store::HostEntry> hosts) {
    std::lock_guard lock(this->mutex);
    this->host_list = std::move(hosts);
  }

  /// Ends every waiting watch with what there is, mostly nothing.
  void end_watches() {
    std::lock_guard lock(this->mutex);
    this->waiters.wake_all();
  }

  [[nodiscard]] Version version() const {
    std::lock_guard lock(this->mutex);
    return this->newest;
  }
  /// How many watches are waiting.
  [[nodiscard]] std::size_t waiting() const {
    std::lock_guard lock(this->mutex);
    return this->waiters.size();
  }
  /// Calls so far, refused ones too.
  [[nodiscard]] std::size_t reads() const {
    std::lock_guard lock(this->mutex);
    return this->read_calls;
  }
  [[nodiscard]] std::size_t writes() const {
    std::lock_guard lock(this->mutex);
    return this->write_calls;
  }
  [[nodiscard]] std::size_t watches() const {
    std::lock_guard lock(this->mutex);
    return this->watch_calls;
  }
  /// @}

 private:
  static constexpr std::size_t kMostValueBytes = 1024 * 1024;

  static tl::unexpected<Error> unavailable(Execution execution) {
    return tl::unexpected(
        Error{ErrorKind::kPlatformUnavailable, "fault of the test", execution});
  }

  [[nodiscard]] bool refuses_reads() const {
    return this->is_down || this->reads_failing;
  }

  void run_before_write() {
    std::function<void()> hook;
    {
      std::lock_guard lock(this->mutex);
      hook = std::exchange(this->write_hook, nullptr);
    }
    if (hook) {
      hook();
    }
  }

  Result<Version> write(const std::string& collection,
                        const std::string& name,
                        std::string value,
                        Version expected,
                        bool removal) {
    ++this->write_calls;
    if (this->is_down) {
      return unavailable(Execution::kNotRun);
    }
    if (value.size() > kMostValueBytes) {
      return tl::unexpected(
          Error{ErrorKind::kTooLarge, "value over 1 MB", Execution::kNotRun});
    }
    if (this->requests_to_lose > 0) {
      --this->requests_to_lose;
      return unavailable(Execution::kUnknown);
    }
    const auto found = this->objects.find({collection, name});
    const Version current =
        found == this->objects.end() ? 0 : found->second.version;
    if (removal && current == 0) {
      return tl::unexpected(
          Error{ErrorKind::kNotFound, name, Execution::kNotRun});
    }
    if (current != expected) {
      return tl::unexpected(Error{ErrorKind::kConflict,
                                  "version is " + std::to_string(current),
                                  Execution::kNotRun});
    }
    const Version version =
        this->apply(collection, name, std::move(value), removal);
    if (this->answers_to_lose > 0) {
      --this->answers_to_lose;
      return unavailable(Execution::kUnknown);
    }
    return version;
  }

  Version apply(const std::string& collection,
                const std::string& name,
                std::string value,
                bool removal) {
    store::StoredObject object{collection, name, ++this->newest,
                               std::move(value)};
    if (removal) {
      this->objects.erase({collection, name});
    } else {
      this->objects[{collection, name}] = object;
    }
    this->history.push_back({std::move(object), removal});
    if (!this->watch_silent) {
      this->waiters.wake(collection);
    }
    return this->newest;
  }

  store::WatchBatch batch_since(const std::string& collection, Version since) {
    store::WatchBatch batch;
    batch.version = std::max(since, this->newest);
    if (this->watch_silent) {
      batch.version = since;
      return batch;
    }
    if (since < this->compacted_to || since > this->newest) {
      batch.compacted = true;
      return batch;
    }
    const auto late = std::stable_partition(
        this->injected.begin(), this->injected.end(),
        [&](const Event& e) { return e.object.collection != collection; });
    batch.events.assign(late, this->injected.end());
    this->injected.erase(late, this->injected.end());
    for (const auto& event : this->history) {
      if (event.object.collection == collection &&
          event.object.version > since) {
        batch.events.push_back(event);
      }
    }
    return batch;
  }

  mutable std::mutex mutex;
  Version newest = 0;
  std::map<std::pair<std::string, std::string>, store::StoredObject> objects;
  std::vector<Event> history;
  std::vector<Event> injected;
  Version compacted_to = 0;
  std::vector<store::HostEntry> host_list;
  WaitingWatches waiters;

  bool is_down = false;
  bool reads_failing = false;
  bool watch_silent = false;
  std::size_t answers_to_lose = 0;
  std::size_t requests_to_lose = 0;
  std::function<void()> write_hook;

  std::size_t read_calls = 0;
  std::size_t write_calls = 0;
  std::size_t watch_calls = 0;
};

}  // namespace ibismux::testing

#endif  // TESTS_SUPPORT_MEMORY_OBJECT_STORE_H_
