#include "ibismux/store/http_object_store.h"
#include "ibismux/store/own_dialect.h"

#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json/parse.hpp>

#include "ibismux/base/io_pool.h"
#include "ibismux/store/settled_writer.h"
#include "tests/support/bound_port.h"
#include "tests/support/http_call.h"
#include "tests/support/process.h"
#include "tests/support/run_task.h"

#include <criterion/criterion.h>

namespace ibismux::store {
namespace {

using std::chrono::milliseconds;
using testing::http_call;
using testing::kTestLimit;
using testing::Process;
using testing::run_task;

/// The stand-in as a process, and a store that speaks to it.
struct Fixture {
  explicit Fixture(PlatformSettings settings = {},
                   std::vector<std::string> arguments = {"--port", "0"})
      : platform("ibismux-fake-platform", std::move(arguments)), pool(2) {
    settings.address = "127.0.0.1";
    settings.port = this->platform.port();
    this->store.emplace(this->pool, settings, std::make_unique<OwnDialect>(),
                        this->registry, 1);
    this->pool.start();
  }
  ~Fixture() { this->pool.stop(); }

  [[nodiscard]] static TimePoint deadline() {
    return Clock::now() + kTestLimit;
  }

  Result<Version> put(const std::string& value, Version expected) {
    return run_task(this->store->put("c", "n /%", value, expected, deadline()));
  }
  Result<void> remove(Version expected) {
    return run_task(this->store->remove("c", "n /%", expected, deadline()));
  }
  Result<StoredObject> get() {
    return run_task(this->store->get("c", "n /%", deadline()));
  }
  Result<WatchBatch> watch(Version since, milliseconds wait = milliseconds(0)) {
    return run_task(this->store->watch("c", since, wait));
  }
  void faults(const std::string& change) {
    const auto answer =
        http_call(this->platform.port(), "PUT", "/fake/faults", change);
    cr_assert(answer && answer->status == 200);
  }
  boost::json::object stats() {
    const auto answer = http_call(this->platform.port(), "GET", "/fake/stats");
    return boost::json::parse(answer->body).as_object();
  }

  Process platform;
  IoPool pool;
  prometheus::Registry registry;
  std::optional<HttpObjectStore> store;
};

/// A watch that a write ends, both on one loop.
WatchBatch watch_during_write(Fixture& fixture, Version since) {
  boost::asio::io_context loop;
  WatchBatch batch;
  boost::asio::co_spawn(
      loop, fixture.store->watch("c", since, kTestLimit),
      [&](std::exception_ptr, Result<WatchBatch> result) { batch = *result; });
  boost::asio::co_spawn(
      loop, fixture.store->put("c", "late", "x", 0, Fixture::deadline()),
      [](std::exception_ptr, Result<Version>) {});
  loop.run();
  return batch;
}

bool comes_to_be_written(Fixture& fixture) {
  return testing::wait_until(
      [&fixture] { return fixture.put("a", 0).has_value(); });
}

bool comes_to_be_watched(Fixture& fixture) {
  return testing::wait_until([&fixture] {
    return fixture.watch(0, std::chrono::minutes(4)).has_value();
  });
}

/// Afterwards the store has a connection, which the next call goes out on.
bool comes_to_answer(Fixture& fixture) {
  return testing::wait_until([&fixture] {
    return fixture.get().error().kind == ErrorKind::kNotFound;
  });
}

/// A write whose time is counted from where it is sent: on the store's loop.
Result<Version> put_on_its_loop(Fixture& fixture) {
  return boost::asio::co_spawn(
             fixture.pool.at(0),
             fixture.store->put("c", "n /%", "a", 0, Fixture::deadline()),
             boost::asio::use_future)
      .get();
}

bool comes_to_exist(Fixture& fixture) {
  return testing::wait_until([&fixture] { return fixture.get().has_value(); });
}

SettledWriter::FindTrace equals(std::string value) {
  return [value](const StoredObject& object) {
    return object.value == value ? WriteSettlement::Trace::kPresent
                                 : WriteSettlement::Trace::kAbsent;
  };
}

Test(http_object_store, writes_are_conditional) {
  Fixture fixture;
  const std::string bytes("a\0\"\xff\n", 5);
  cr_assert(fixture.put(bytes, 0).value() == 1);
  cr_assert(fixture.put("b", 0).error().kind == ErrorKind::kConflict);
  const auto stale = fixture.put("b", 7);
  cr_assert(stale.error().kind == ErrorKind::kConflict);
  cr_assert(stale.error().execution == Execution::kNotRun);
  const auto object = fixture.get();
  cr_assert(object->version == 1 && object->value == bytes);
  const auto all = run_task(fixture.store->list("c", Fixture::deadline()));
  cr_assert(all->version == 1 && all->objects.size() == 1);
  cr_assert(all->objects[0].name == "n /%" && all->objects[0].value == bytes);
}

Test(http_object_store, removal_is_conditional_too) {
  Fixture fixture;
  cr_assert(fixture.put("a", 0).value() == 1);
  cr_assert(fixture.remove(9).error().kind == ErrorKind::kConflict);
  cr_assert(fixture.remove(1).has_value());
  cr_assert(fixture.remove(1).error().kind == ErrorKind::kNotFound);
  cr_assert(fixture.get().error().kind == ErrorKind::kNotFound);
  const auto batch = fixture.watch(1);
  cr_assert(batch->events.size() == 1 && batch->events[0].removed);
}

Test(http_object_store, a_value_over_a_megabyte_is_not_sent) {
  Fixture fixture;
  const auto most = std::string(1024 * 1024, 'x');
  cr_assert(fixture.put(most, 0).value() == 1);
  cr_assert(fixture.put(most + "x", 1).error().kind == ErrorKind::kTooLarge);
}

Test(http_object_store, a_waiting_watch_ends_with_the_write) {
  Fixture fixture;
  cr_assert(fixture.put("a", 0).value() == 1);
  const auto batch = watch_during_write(fixture, 1);
  cr_assert(batch.events.size() == 1);
  cr_assert(batch.events[0].object.name == "late");
  cr_assert(batch.version == 2);
}

// Failure: a watcher that was away misses changes and never notices.
Test(http_object_store, a_lost_history_is_told_from_no_change) {
  Fixture fixture({}, {"--history", "1"});
  cr_assert(fixture.put("a", 0).value() == 1);
  cr_assert(fixture.put("b", 1).value() == 2);
  cr_assert(fixture.watch(0)->compacted);
  cr_assert(!fixture.watch(1)->compacted);
  cr_assert(fixture.watch(2)->events.empty());
}

Test(http_object_store, old_events_come_with_their_old_versions) {
  Fixture fixture;
  cr_assert(fixture.put("a", 0).value() == 1);
  cr_assert(fixture.put("b", 1).value() == 2);
  fixture.faults(R"({"old_events":true})");
  const auto batch = fixture.watch(1);
  cr_assert(batch->events.size() == 2);
  cr_assert(batch->events[0].object.version == 1);
}

// Failure: a change is refused to the operator and in force nevertheless.
Test(http_object_store, a_lost_answer_may_have_taken_effect_and_is_settled) {
  Fixture fixture;
  fixture.faults(R"({"lose_answers":1})");
  cr_assert(fixture.put("a", 0).error().execution == Execution::kUnknown);
  cr_assert(fixture.get()->value == "a");
  SettledWriter writer(*fixture.store);
  const auto settled = run_task(
      writer.put("c", "n /%", "b", 1, equals("b"), Fixture::deadline()));
  cr_assert(settled.value() == 2);
}

Test(http_object_store, a_cut_connection_says_the_same_of_an_undone_write) {
  Fixture fixture;
  fixture.faults(R"({"lose_requests":1})");
  cr_assert(fixture.put("a", 0).error().execution == Execution::kUnknown);
  cr_assert(fixture.get().error().kind == ErrorKind::kNotFound);
}

Test(http_object_store, in_an_outage_calls_are_refused_without_being_sent) {
  PlatformSettings settings;
  settings.health.first_backoff = std::chrono::hours(1);
  settings.health.longest_backoff = std::chrono::hours(1);
  Fixture fixture(settings);
  fixture.faults(R"({"outage":true})");
  for (int i = 0; i < 10; ++i) {
    const auto refused = fixture.put("a", 0);
    cr_assert(refused.error().kind == ErrorKind::kPlatformUnavailable);
    cr_assert(refused.error().execution == Execution::kNotRun);
  }
  cr_assert(fixture.store->state() == PlatformState::kDown);
  cr_assert(fixture.stats().at("calls").at("write").at("503") == 3);
}

Test(http_object_store, the_first_answer_ends_an_outage) {
  PlatformSettings settings;
  settings.health.first_backoff = milliseconds(1);
  settings.health.longest_backoff = milliseconds(1);
  Fixture fixture(settings);
  fixture.faults(R"({"outage":true})");
  for (int i = 0; i < 3; ++i) {
    cr_assert(!fixture.get());
  }
  fixture.faults(R"({"outage":false})");
  cr_assert(comes_to_be_written(fixture));
  cr_assert(fixture.store->state() == PlatformState::kUp);
}

// Failure: half a minute after an outage the daemon still refuses to publish.
Test(http_object_store,
     a_watch_that_is_the_probe_does_not_wait,
     .timeout = 60) {
  PlatformSettings settings;
  settings.health.first_backoff = milliseconds(1);
  settings.health.longest_backoff = milliseconds(1);
  Fixture fixture(settings);
  fixture.faults(R"({"outage":true})");
  for (int i = 0; i < 3; ++i) {
    cr_assert(!fixture.watch(0));
  }
  fixture.faults(R"({"outage":false})");
  cr_assert(comes_to_be_watched(fixture));
  cr_assert(fixture.store->state() == PlatformState::kUp);
}

Test(http_object_store, a_refused_connection_is_certainly_not_done) {
  const tests::BoundPort nobody;
  PlatformSettings settings;
  settings.address = "127.0.0.1";
  settings.port = nobody.port();
  prometheus::Registry registry;
  IoPool pool(1);
  HttpObjectStore store(pool, settings, std::make_unique<OwnDialect>(),
                        registry, 1);
  pool.start();
  const auto refused =
      run_task(store.put("c", "n", "a", 0, Fixture::deadline()));
  pool.stop();
  cr_assert(refused.error().kind == ErrorKind::kPlatformUnavailable);
  cr_assert(refused.error().execution == Execution::kNotRun);
}

Test(http_object_store, a_slow_platform_leaves_a_write_in_doubt) {
  PlatformSettings settings;
  settings.call_timeout = milliseconds(50);
  Fixture fixture(settings);
  cr_assert(comes_to_answer(fixture));
  fixture.faults(R"({"hang":true})");
  const auto late = put_on_its_loop(fixture);
  cr_assert(late.error().kind == ErrorKind::kPlatformUnavailable);
  cr_assert(late.error().execution == Execution::kUnknown);
  fixture.faults(R"({"hang":false})");
  // The write that was given up on takes effect after all.
  cr_assert(comes_to_exist(fixture));
}

Test(http_object_store, a_spent_budget_refuses_at_once_and_by_kind) {
  PlatformSettings settings;
  settings.budget.per_second = {0, 0, 0};
  settings.budget.least_per_second = {0, 0, 0};
  settings.budget.least_burst = {2, 2, 2};
  Fixture fixture(settings);
  cr_assert(fixture.put("a", 0).has_value());
  cr_assert(fixture.put("b", 1).has_value());
  const auto refused = fixture.put("c", 2);
  cr_assert(refused.error().kind == ErrorKind::kPlatformUnavailable);
  cr_assert(refused.error().execution == Execution::kNotRun);
  cr_assert(refused.error().retry_after.has_value());
  cr_assert(fixture.get().has_value());
}

Test(http_object_store, the_platforms_cap_stops_this_daemons_burst) {
  Fixture fixture({}, {"--writes-per-second", "1"});
  Version version = 0;
  std::size_t refused = 0;
  for (int i = 0; i < 30; ++i) {
    const auto written = fixture.put("a", version);
    version = written.value_or(version);
    refused += written.has_value() ? 0 : 1;
  }
  cr_assert(refused > 0);
  const auto text =
      prometheus::TextSerializer().Serialize(fixture.registry.Collect());
  cr_assert(text.find("ibismux_platform_calls_total{kind=\"write\",result="
                      "\"rate_limited\"}") != std::string::npos);
  // Each 429 empties the bucket, so most of the rest isn't even sent.
  cr_assert(fixture.stats().at("calls").at("write").at("429").to_number<int>() <
            15);
}

Test(http_object_store, the_host_list_lags) {
  Fixture fixture;
  const auto port = fixture.platform.port();
  const std::string hosts = R"({"hosts":[{"name":"h","peer_address":"1.2.3.4:5",
      "zone":"z","leaving":true}]})";
  fixture.faults(R"({"host_lag_ms":0})");
  cr_assert(http_call(port, "PUT", "/fake/hosts", hosts)->status == 200);
  fixture.faults(R"({"host_lag_ms":3600000})");
  const std::string none = R"({"hosts":[]})";
  cr_assert(http_call(port, "PUT", "/fake/hosts", none)->status == 200);
  const auto shown = run_task(fixture.store->hosts(Fixture::deadline()));
  cr_assert(shown->size() == 1 && shown->front().leaving);
  cr_assert(shown->front().peer_address == "1.2.3.4:5");
}

}  // namespace
}  // namespace ibismux::store
