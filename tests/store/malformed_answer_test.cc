#include <prometheus/registry.h>

#include <boost/asio/co_spawn.hpp>
#include <memory>

#include "ibismux/base/io_pool.h"
#include "ibismux/http/server.h"
#include "ibismux/store/http_object_store.h"
#include "ibismux/store/own_dialect.h"
#include "tests/support/process.h"
#include "tests/support/run_task.h"

#include <criterion/criterion.h>

namespace ibismux::store {
namespace {

using testing::run_task;

/// A platform that gives every call the same answer.
class FixedAnswer {
 public:
  explicit FixedAnswer(http::Response answer)
      : answer(std::make_shared<const http::Response>(std::move(answer))),
        pool(1),
        server(this->pool, {}, [this](auto, auto) {
          return give(this->answer);
        }) {
    this->pool.start();
    PlatformSettings settings;
    settings.address = "127.0.0.1";
    settings.port = this->server.listen("127.0.0.1", 0).value();
    this->store.emplace(this->pool, settings, std::make_unique<OwnDialect>(),
                        this->registry, 1);
  }
  ~FixedAnswer() {
    this->server.stop();
    this->pool.stop();
  }

  Error put() {
    return run_task(this->store->put("c", "n", "v", 5, deadline())).error();
  }
  Error get() {
    return run_task(this->store->get("c", "n", deadline())).error();
  }
  Result<WatchBatch> stale_changes(Version since) {
    return run_task(this->store->stale_changes("c", since, deadline()));
  }

 private:
  static TimePoint deadline() { return Clock::now() + testing::kTestLimit; }

  static Task<http::Response> give(
      std::shared_ptr<const http::Response> answer) {
    co_return *answer;
  }

  std::shared_ptr<const http::Response> answer;
  IoPool pool;
  prometheus::Registry registry;
  http::Server server;
  std::optional<HttpObjectStore> store;
};

http::Response response(int status, std::string body, std::string etag = "") {
  http::Response result;
  result.status = status;
  result.body = std::move(body);
  if (!etag.empty()) {
    result.add("ETag", etag);
  }
  return result;
}

// Failure: a change that took effect is reported as not done.
Test(malformed_answer, after_an_unreadable_200_a_write_is_in_doubt) {
  for (const char* body : {"", "done", "{}", R"({"version":"6"})",
                           R"({"version":5})", R"({"version":4})"}) {
    const Error error = FixedAnswer(response(200, body)).put();
    cr_assert(error.kind == ErrorKind::kProtocolError, "%s", body);
    cr_assert(error.execution == Execution::kUnknown, "%s", body);
  }
}

Test(malformed_answer, only_the_promised_statuses_say_not_done) {
  for (int status : {201, 302, 401, 409, 500, 502, 504}) {
    const Error error = FixedAnswer(response(status, "{}")).put();
    cr_assert(error.execution == Execution::kUnknown, "%d", status);
  }
  for (int status : {400, 404, 412, 413, 429, 503}) {
    const Error error = FixedAnswer(response(status, "{}")).put();
    cr_assert(error.execution == Execution::kNotRun, "%d", status);
  }
}

Test(malformed_answer, a_value_without_a_version_is_not_taken) {
  for (const char* etag : {"", "abc", "0", "W/\"3\""}) {
    const Error error = FixedAnswer(response(200, "v", etag)).get();
    cr_assert(error.kind == ErrorKind::kProtocolError, "%s", etag);
  }
}

// Guards against a watch that is replaced because a read replica lags.
Test(malformed_answer, an_older_state_has_no_changes) {
  const http::Response older = response(200, R"({"version":4,"events":[]})");
  const auto changes = FixedAnswer(older).stale_changes(5);
  cr_assert(changes->version == 5 && changes->events.empty());
  cr_assert(!changes->compacted);
}

}  // namespace
}  // namespace ibismux::store
