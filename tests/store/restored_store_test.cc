#include "ibismux/store/http_object_store.h"
#include "ibismux/store/own_dialect.h"

#include <prometheus/registry.h>

#include <atomic>

#include "ibismux/base/io_pool.h"
#include "tests/support/process.h"
#include "tests/support/run_task.h"

#include <criterion/criterion.h>

namespace ibismux::store {
namespace {

using testing::kTestLimit;
using testing::Process;
using testing::run_task;

/// The dialect of a store that counts its restores; the test sets the count.
class CountingDialect : public OwnDialect {
 public:
  explicit CountingDialect(const std::atomic<std::uint64_t>& era) : era(era) {}
  [[nodiscard]] Result<std::uint64_t> read_era(
      const http::Response&) const override {
    return this->era.load();
  }

 private:
  const std::atomic<std::uint64_t>& era;
};

struct Fixture {
  Fixture() : platform("ibismux-fake-platform", {"--port", "0"}), pool(2) {
    PlatformSettings settings;
    settings.address = "127.0.0.1";
    settings.port = this->platform.port();
    this->store.emplace(this->pool, settings,
                        std::make_unique<CountingDialect>(this->era),
                        this->registry, 1);
    this->pool.start();
  }
  ~Fixture() { this->pool.stop(); }

  Result<Version> put(const std::string& value, Version expected) {
    return run_task(
        this->store->put("c", "n", value, expected, Clock::now() + kTestLimit));
  }
  Result<StoredObject> get() {
    return run_task(this->store->get("c", "n", Clock::now() + kTestLimit));
  }
  Result<WatchBatch> watch(Version since) {
    return run_task(
        this->store->watch("c", since, std::chrono::milliseconds(0)));
  }

  std::atomic<std::uint64_t> era{1};
  Process platform;
  IoPool pool;
  prometheus::Registry registry;
  std::optional<HttpObjectStore> store;
};

Test(restored_store, versions_rise_with_the_era) {
  Fixture fixture;
  const Version first = fixture.put("a", 0).value();
  cr_assert(era_of(first) == 1);
  fixture.era = 2;
  const Version read = fixture.get().value().version;
  cr_assert(era_of(read) == 2 && revision_of(read) == revision_of(first));
  cr_assert(read > first);
  cr_assert(fixture.put("b", read).value() > read);
}

// Guards against a write whose condition names another write's revision.
Test(restored_store, a_condition_of_the_former_era_never_counts_as_met) {
  Fixture fixture;
  const Version before = fixture.put("a", 0).value();
  fixture.era = 2;
  const auto doubtful = fixture.put("b", before);
  cr_assert(doubtful.error().kind == ErrorKind::kPlatformUnavailable);
  cr_assert(doubtful.error().execution == Execution::kUnknown);
  const auto refused = fixture.put("c", before);
  cr_assert(refused.error().kind == ErrorKind::kConflict);
  cr_assert(refused.error().execution == Execution::kNotRun);
}

// Guards against a watch that a restored store takes up without the changes.
Test(restored_store, a_watch_of_the_former_era_is_gone) {
  Fixture fixture;
  const Version before = fixture.put("a", 0).value();
  fixture.era = 2;
  cr_assert(fixture.watch(before).value().compacted);
  const Version now = fixture.get().value().version;
  cr_assert(!fixture.watch(now).value().compacted);
  cr_assert(fixture.watch(before).value().compacted);
}

}  // namespace
}  // namespace ibismux::store
