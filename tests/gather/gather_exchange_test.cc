// Tests GatherClient and GatherHost against each other.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "ibismux/eventlog/event_log.h"
#include "ibismux/gather/gather_client.h"
#include "ibismux/gather/gather_host.h"
#include "ibismux/gather/gather_room.h"
#include "ibismux/http/cancel_token.h"
#include "tests/support/fake_peer_network.h"
#include "tests/support/run_until.h"

#include <criterion/criterion.h>

namespace ibismux::gather::testing {
namespace {

using std::chrono::milliseconds;
using DelegationResult = dispatch::QueryDelegate::DelegationResult;

/// Answers only while `answers` is set; records the requests and cancellations.
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
    cancelled->on_cancel([this, id = request.id](http::CancelReason) {
      this->cancelled_ids.push_back(id);
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
  std::shared_ptr<const dispatch::Confirmation>
      confirmation;  ///< Of the last query.
  std::vector<std::string> asked;
  std::vector<std::string> cancelled_ids;

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
      std::make_shared<GatherClient>(this->loop,
                                     this->weak_network,
                                     this->log,
                                     1);
  std::shared_ptr<GatherHost> host =
      std::make_shared<GatherHost>(this->loop,
                                   this->wide_network,
                                   this->gatherer,
                                   this->log,
                                   true);
  std::map<std::string, DelegationResult> ended;

  Fixture() {
    this->client->start();
    this->host->start();
    this->host->on_roles({.gathers = true, .served = {"weak"}, .gatherers = 1});
    this->run_until(
        [this] { return this->client->is_available({}, Clock::now()); });
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

/// A wide host that serves nobody of its zone, and a daemon of another zone.
struct DistantFixture : Fixture {
  explicit DistantFixture(bool serves_other_zones = true) {
    this->host = std::make_shared<GatherHost>(this->loop, this->wide_network,
                                              this->gatherer, this->log,
                                              serves_other_zones);
    this->host->start();
    this->host->on_roles({.gathers = true, .served = {}, .gatherers = 1});
    this->client->on_roles({.distant_gatherers = {"wide"}, .gatherers = 1});
    // The offers of the other fixture's host are over.
    this->run_until(
        [this] { return !this->client->is_available({}, Clock::now()); });
  }
  /// Waits until the daemon may ask again, and the last offer has expired.
  void wait_for_next_question() {
    this->run_until(
        [this] { return !this->client->is_available({}, Clock::now()); });
  }
  bool gets_an_offer() {
    this->client->on_unavailable({}, Clock::now());
    const TimePoint end = Clock::now() + milliseconds(50);
    this->run_until([&] {
      return Clock::now() > end || this->client->is_available({}, Clock::now());
    });
    return this->client->is_available({}, Clock::now());
  }
};

Test(gather_exchange, a_daemon_of_another_zone_gets_an_offer_when_it_asks) {
  DistantFixture fixture;
  cr_assert(!fixture.client->is_available({}, Clock::now()));
  cr_assert(fixture.gets_an_offer());
  cr_assert(fixture.run("q1").outcome.has_value());
}

// Guards against queries of other zones that take the room kept for the own
// one.
Test(gather_exchange, other_zones_get_no_offer_while_half_of_the_room_is_used) {
  DistantFixture fixture;
  fixture.gatherer.answers = false;
  std::size_t taken = 0;
  while (fixture.gets_an_offer() && taken < GatherRoom::kMaxQueries) {
    fixture.begin("q" + std::to_string(++taken));
    fixture.run_until([&] { return fixture.gatherer.asked.size() == taken; });
    fixture.wait_for_next_question();
  }
  cr_assert(taken == GatherRoom::kMaxQueries - GatherRoom::kReservedForZone,
            "%zu", taken);
}

// Guards against an offer that was held up on the way and counts as fresh.
Test(gather_exchange, an_offer_that_comes_long_after_the_question_is_ignored) {
  DistantFixture fixture;
  fixture.cluster.hold("wide", "weak");
  fixture.client->on_unavailable({}, Clock::now());
  const TimePoint late =
      Clock::now() + GathererSelector::kOfferLifetime + milliseconds(50);
  fixture.run_until([late] { return Clock::now() > late; });
  fixture.cluster.deliver_held("wide", "weak");
  const TimePoint end = Clock::now() + milliseconds(50);
  fixture.run_until([end] { return Clock::now() > end; });
  cr_assert(!fixture.client->is_available({}, Clock::now()));
}

Test(gather_exchange, a_host_may_serve_its_own_zone_only) {
  DistantFixture fixture(false);
  cr_assert(!fixture.gets_an_offer());
}

Test(gather_exchange, a_query_on_another_configuration_is_refused) {
  Fixture fixture;
  const DelegationResult& delegated = fixture.run("q1", 6);
  cr_assert(!delegated.outcome.has_value());
  cr_assert(!delegated.may_have_run);
  cr_assert(fixture.gatherer.asked.empty());
}

// Guards against a query that waits until its deadline for an unreachable peer.
Test(gather_exchange, an_unconfirmed_query_is_gathered_locally) {
  Fixture fixture;
  fixture.cluster.hold("weak", "wide");
  const DelegationResult& delegated = fixture.run("q1");
  cr_assert(!delegated.outcome.has_value());
  cr_assert(delegated.may_have_run);
  cr_assert(!fixture.client->is_available({}, Clock::now()));
}

// Guards against calls to more leafs of a shard than the route allows: the
// client gathers the query itself, and so does the peer.
Test(gather_exchange, a_late_confirmation_is_not_acknowledged) {
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

Test(gather_exchange, a_confirmation_is_acknowledged) {
  Fixture fixture;
  fixture.gatherer.answers = false;
  fixture.begin("q1");
  cr_assert(fixture.run_until([&] {
    return fixture.gatherer.confirmation &&
           fixture.gatherer.confirmation->given;
  }));
}

// Guards against leafs that work for callers that gave up while a network
// partition delayed the frames.
Test(gather_exchange, a_query_on_an_expired_offer_is_refused) {
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

Test(gather_exchange, a_cancelled_query_is_cancelled_at_the_peer) {
  Fixture fixture;
  fixture.gatherer.answers = false;
  const auto token = fixture.begin("q1");
  cr_assert(fixture.run_until([&] { return !fixture.gatherer.asked.empty(); }));
  token->cancel();
  cr_assert(fixture.run_until([&] { return fixture.ended.contains("q1"); }));
  const auto& outcome = fixture.ended["q1"].outcome;
  cr_assert(outcome.has_value() && !outcome->has_value());
  cr_assert(outcome->error().kind == ErrorKind::kCancelled);
  cr_assert(fixture.run_until(
      [&] { return !fixture.gatherer.cancelled_ids.empty(); }));
}

// Guards against a second run of a query whose peer may have made all attempts
// that the route allows.
Test(gather_exchange, losing_the_peer_of_a_taken_query_is_outcome_unknown) {
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
  cr_assert(fixture.run_until(
      [&] { return !fixture.gatherer.cancelled_ids.empty(); }));
}

// Guards against queries of peers that a stopping daemon leaves without an
// answer.
Test(gather_exchange, a_stopping_host_ends_its_queries) {
  Fixture fixture;
  fixture.gatherer.answers = false;
  fixture.begin("q1");
  cr_assert(fixture.run_until([&] { return fixture.host->in_flight() == 1; }));
  fixture.host->cancel_queries();
  cr_assert(fixture.gatherer.cancelled_ids.size() == 1);
}

// Guards against a query at a silent peer that outlasts the stop of its daemon.
Test(gather_exchange, a_delegated_query_ends_as_unknown_at_a_stop) {
  Fixture fixture;
  fixture.gatherer.answers = false;
  const auto token = fixture.begin("q1");
  cr_assert(fixture.run_until([&] { return !fixture.gatherer.asked.empty(); }));
  token->cancel(http::CancelReason::kStopping);
  cr_assert(fixture.run_until([&] { return fixture.ended.contains("q1"); }));
  const auto& outcome = fixture.ended["q1"].outcome;
  cr_assert(outcome.has_value() && !outcome->has_value());
  cr_assert(outcome->error().kind == ErrorKind::kOutcomeUnknown);
}

Test(gather_exchange, a_draining_host_withdraws_offers_and_finishes) {
  Fixture fixture;
  fixture.gatherer.answers = false;
  fixture.begin("q1");
  cr_assert(fixture.run_until([&] { return fixture.host->in_flight() == 1; }));
  fixture.host->drain();
  cr_assert(fixture.run_until(
      [&] { return !fixture.client->is_available({}, Clock::now()); }));
  fixture.gatherer.answers = true;
  cr_assert(fixture.run_until([&] { return fixture.ended.contains("q1"); }));
  cr_assert(fixture.ended["q1"].outcome->has_value());
  cr_assert(fixture.run_until([&] { return fixture.host->in_flight() == 0; }));
}

}  // namespace
}  // namespace ibismux::gather::testing
