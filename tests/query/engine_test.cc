#include "ibismux/query/query_engine.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "ibismux/gateway/leaf_caller.h"
#include "tests/query/query_fixture.h"

#include <criterion/criterion.h>

namespace ibismux::query {
namespace {

namespace asio = boost::asio;

/// Answers each call at once with one hit, except calls to the shard `silent`,
/// which get no answer. Counts cancelled calls.
class FakeLeafs final : public gateway::LeafCaller {
 public:
  void call(gateway::LeafCallBatch batch,
            asio::any_io_executor executor,
            Sink sink) override {
    for (const auto& item : batch.items) {
      this->snapshots.push_back(batch.snapshot);
      if (item.shard == this->silent) {
        continue;
      }
      asio::post(executor, [sink, id = CallId{batch.origin, item.sequence},
                            body = body_of(item.shard, 1)] {
        sink({id, body});
      });
    }
  }

  void cancel(std::vector<CallId> calls) override {
    this->cancelled += calls.size();
  }

  std::string silent;
  std::vector<std::string> snapshots;
  std::size_t cancelled = 0;
};

struct EngineFixture {
  EngineFixture()
      : releases(release_of(1, snapshot_of("n1", 1, 3, 1))),
        engine(5, this->releases, this->leafs, this->metrics) {}

  static Task<void> run_query(QueryEngine& engine,
                              QueryRequest request,
                              std::shared_ptr<http::CancelToken> cancel,
                              std::optional<Result<QueryAnswer>>& result) {
    result = co_await engine.run(std::move(request), std::move(cancel));
  }

  Result<QueryAnswer> ask(const std::string& service, bool cancelled = false) {
    QueryRequest request;
    request.service = service;
    request.received = Clock::now();
    request.deadline = milliseconds(60'000);
    request.body = std::make_shared<const std::string>("q");
    auto cancel = std::make_shared<http::CancelToken>();
    std::optional<Result<QueryAnswer>> result;
    asio::co_spawn(this->loop,
                   run_query(this->engine, std::move(request), cancel, result),
                   asio::detached);
    if (cancelled) {
      asio::post(this->loop, [cancel] { cancel->cancel(); });
    }
    this->loop.run();
    this->loop.restart();
    return std::move(*result);
  }

  asio::io_context loop;
  prometheus::Registry metrics;
  FakeLeafs leafs;
  RcuCell<release::Release> releases;
  QueryEngine engine;
};

Test(query_engine, a_query_is_scattered_gathered_and_answered) {
  EngineFixture fixture;
  const Result<QueryAnswer> answer = fixture.ask("catalogue");
  cr_assert(answer.has_value());
  cr_assert(answer->snapshot == "n1");
  cr_assert(answer->coverage.contributed.size() == 3);
  cr_assert(answer->hits.size() == 3);
}

Test(query_engine, an_unknown_service_is_not_found) {
  EngineFixture fixture;
  const Result<QueryAnswer> answer = fixture.ask("other");
  cr_assert(answer.error().kind == ErrorKind::kNotFound);
  cr_assert(answer.error().execution == Execution::kNotRun);
}

Test(query_engine, without_a_release_it_is_not_ready) {
  EngineFixture fixture;
  fixture.releases.write(std::make_shared<const release::Release>());
  const Result<QueryAnswer> answer = fixture.ask("catalogue");
  cr_assert(answer.error().kind == ErrorKind::kNotReady);
  cr_assert(answer.error().retry_after.has_value());
}

Test(query_engine, the_next_query_sees_the_next_release) {
  EngineFixture fixture;
  cr_assert(fixture.ask("catalogue")->snapshot == "n1");
  fixture.releases.write(release_of(2, snapshot_of("n2", 2, 2, 1)));
  const Result<QueryAnswer> answer = fixture.ask("catalogue");
  cr_assert(answer->snapshot == "n2");
  cr_assert(answer->coverage.total == 2);
}

Test(query_engine, a_cancelled_query_cancels_its_calls_at_once) {
  EngineFixture fixture;
  fixture.leafs.silent = "s1";
  const Result<QueryAnswer> answer = fixture.ask("catalogue", true);
  cr_assert(answer.error().kind == ErrorKind::kCancelled);
  cr_assert(fixture.leafs.cancelled >= 1);
}

}  // namespace
}  // namespace ibismux::query
