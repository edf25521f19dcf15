// A daemon that hands queries over, and one that gathers them.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "ibismux/eventlog/event_log.h"
#include "ibismux/gather/gather_client.h"
#include "ibismux/gather/gather_host.h"
#include "ibismux/http/cancel_token.h"
#include "tests/support/fake_peer_network.h"
#include "tests/support/run_until.h"

#include <criterion/criterion.h>

namespace ibismux::gather::testing {
namespace {

using std::chrono::milliseconds;
using DelegationResult = dispatch::QueryDelegate::DelegationResult;

/// Answers when told to; remembers what it was asked and what was given up.
class ManualGatherer : public dispatch::QueryGatherer {
 public:
  explicit ManualGatherer(boost::asio::io_context& loop) : loop(loop) {}

  [[nodiscard]] std::uint64_t configuration() const noexcept override {
    return this->version;
  }

  Task<dispatch::Outcome> gather(
      dispatch::CallerRequest request,
      std::shared_ptr<const dispatch::Confirmation> confirmation,
      std::shared_ptr<http::CancelToken> cancelled) override {
    this->asked.push_back(request.id);
    this->confirmation = std::move(confirmation);
    cancelled->on_cancel([this, id = request.id] {
      this->given_up.push_back(id);
      this->answers = true;
    });
    boost::asio::steady_timer timer(this->loop);
    while (!this->answers) {
      timer.expires_after(milliseconds(1));
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
    dispatch::MergedAnswer merged{{"receipt." + request.id}, 0, "records"};
    co_return dispatch::Answer(std::move(merged));
  }

  std::uint64_t version = 5;
  bool answers = true;
  std::shared_ptr<const dispatch::Confirmation> confirmation;  ///< The last.
  std::vector<std::string> asked;
  std::vector<std::string> given_up;

 private:
  boost::asio::io_context& loop;
};

struct Fixture {
  boost::asio::io_context loop;
  eventlog::EventLog log{this->loop, {.descriptor = -1}};
  tests::FakePeerCluster cluster;
  peer::PeerNetwork& weak_network =
      this->cluster.add({"weak", 1}, this->loop.get_executor());
  peer::PeerNetwork& wide_network =
      this->cluster.add({"wide", 2}, this->loop.get_executor());
  ManualGatherer gatherer{this->loop};
  std::shared_ptr<GatherClient> client =
      std::make_shared<GatherClient>(this->loop, this->weak_network, this->log);
  std::shared_ptr<GatherHost> host =
      std::make_shared<GatherHost>(this->loop,
                                   this->wide_network,
                                   this->gatherer,
                                   this->log);
  std::map<std::string, DelegationResult> ended;

  Fixture() {
    this->client->start();
    this->host->start();
    this->host->on_roles({.gathers = true, .served = {"weak"}, .gatherers = 1});
    this->run_until(
        [this] { return this->client->is_available(Clock::now()); });
  }

  bool run_until(const std::function<bool()>& reached) {
    return ibismux::testing::run_until(this->loop, reached);
  }

  std::shared_ptr<http::CancelToken> begin(const std::string& id,
                                           std::uint64_t configuration = 5) {
    dispatch::QueryDelegate::Query query;
    query.request.id = id;
    query.request.message = std::make_shared<http::Request>();
    query.request.received = Clock::now();
    query.request.deadline = Clock::now() + std::chrono::seconds(10);
    query.configuration = configuration;
    query.due = Clock::now() + std::chrono::seconds(8);
    query.final_deadline = query.request.deadline;
    auto token = std::make_shared<http::CancelToken>();
    boost::asio::co_spawn(
        this->loop, this->client->run(std::move(query), token),
        [this, id](const std::exception_ptr&, DelegationResult delegated) {
          this->ended[id] = std::move(delegated);
        });
    return token;
  }

  DelegationResult& run(const std::string& id,
                        std::uint64_t configuration = 5) {
    this->begin(id, configuration);
    cr_assert(this->run_until([&] { return this->ended.contains(id); }));
    return this->ended[id];
  }
};

Test(gather_exchange, a_query_is_gathered_by_the_peer_that_offered) {
  Fixture fixture;
  const DelegationResult& delegated = fixture.run("q1");
  cr_assert(delegated.outcome.has_value());
  const auto& merged = std::get<dispatch::MergedAnswer>(**delegated.outcome);
  cr_assert(merged.receipts == std::vector<std::string>({"receipt.q1"}));
  cr_assert(merged.records == "records");
}

Test(gather_exchange, another_configuration_there_means_gathering_here) {
  Fixture fixture;
  const DelegationResult& delegated = fixture.run("q1", 6);
  cr_assert(!delegated.outcome.has_value());
  cr_assert(!delegated.may_have_run);
  cr_assert(fixture.gatherer.asked.empty());
}

// Failure: a query waits for its deadline at a peer that was cut off.
Test(gather_exchange, a_query_that_is_not_taken_up_is_gathered_here) {
  Fixture fixture;
  fixture.cluster.hold("weak", "wide");
  const DelegationResult& delegated = fixture.run("q1");
  cr_assert(!delegated.outcome.has_value());
  cr_assert(delegated.may_have_run);
  cr_assert(!fixture.client->is_available(Clock::now()));
}

// Failure: more leafs of a shard get the query than its route allows.
Test(gather_exchange, a_peer_whose_confirmation_is_lost_gets_none) {
  Fixture fixture;
  fixture.gatherer.answers = false;
  fixture.cluster.hold("wide", "weak");
  const DelegationResult& delegated = fixture.run("q1");
  cr_assert(!delegated.outcome.has_value());
  cr_assert(delegated.may_have_run);
  fixture.cluster.deliver_held("wide", "weak");
  const TimePoint end = Clock::now() + milliseconds(50);
  fixture.run_until([&] { return Clock::now() > end; });
  cr_assert(fixture.gatherer.asked.size() == 1);
  cr_assert(!fixture.gatherer.confirmation->given);
}

Test(gather_exchange, a_peer_learns_that_its_confirmation_has_come) {
  Fixture fixture;
  fixture.gatherer.answers = false;
  fixture.begin("q1");
  cr_assert(fixture.run_until([&] {
    return fixture.gatherer.confirmation &&
           fixture.gatherer.confirmation->given;
  }));
}

// Failure: leafs work for callers that left while a cut held up frames.
Test(gather_exchange, a_query_on_an_old_offer_is_not_taken) {
  Fixture fixture;
  fixture.cluster.hold("weak", "wide");
  fixture.begin("q1");
  cr_assert(fixture.run_until([&] { return fixture.ended.contains("q1"); }));
  const TimePoint later = Clock::now() + std::chrono::seconds(1);
  fixture.run_until([&] { return Clock::now() > later; });
  fixture.cluster.deliver_held("weak", "wide");
  const TimePoint end = Clock::now() + milliseconds(50);
  fixture.run_until([&] { return Clock::now() > end; });
  cr_assert(fixture.gatherer.asked.empty());
}

Test(gather_exchange, the_end_of_a_callers_interest_reaches_the_peer) {
  Fixture fixture;
  fixture.gatherer.answers = false;
  const auto token = fixture.begin("q1");
  cr_assert(fixture.run_until([&] { return !fixture.gatherer.asked.empty(); }));
  token->cancel();
  cr_assert(fixture.run_until([&] { return fixture.ended.contains("q1"); }));
  const auto& outcome = fixture.ended["q1"].outcome;
  cr_assert(outcome.has_value() && !outcome->has_value());
  cr_assert(outcome->error().kind == ErrorKind::kCancelled);
  cr_assert(
      fixture.run_until([&] { return !fixture.gatherer.given_up.empty(); }));
}

// Failure: a query runs again whose peer has used its attempts up.
Test(gather_exchange, a_taken_query_whose_peer_is_lost_ends_unknown) {
  Fixture fixture;
  fixture.gatherer.answers = false;
  fixture.begin("q1");
  cr_assert(fixture.run_until([&] { return !fixture.gatherer.asked.empty(); }));
  const TimePoint taken = Clock::now() + milliseconds(10);
  fixture.run_until([&] { return Clock::now() > taken; });
  fixture.cluster.cut("weak", "wide");
  cr_assert(fixture.run_until([&] { return fixture.ended.contains("q1"); }));
  const auto& outcome = fixture.ended["q1"].outcome;
  cr_assert(outcome.has_value() && !outcome->has_value());
  cr_assert(outcome->error().execution == Execution::kUnknown);
  cr_assert(
      fixture.run_until([&] { return !fixture.gatherer.given_up.empty(); }));
}

Test(gather_exchange, a_host_that_stops_takes_nothing_new_and_ends_the_rest) {
  Fixture fixture;
  fixture.gatherer.answers = false;
  fixture.begin("q1");
  cr_assert(fixture.run_until([&] { return fixture.host->in_flight() == 1; }));
  fixture.host->drain();
  cr_assert(fixture.run_until(
      [&] { return !fixture.client->is_available(Clock::now()); }));
  fixture.gatherer.answers = true;
  cr_assert(fixture.run_until([&] { return fixture.ended.contains("q1"); }));
  cr_assert(fixture.ended["q1"].outcome->has_value());
  cr_assert(fixture.run_until([&] { return fixture.host->in_flight() == 0; }));
}

}  // namespace
}  // namespace ibismux::gather::testing
