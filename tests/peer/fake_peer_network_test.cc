#include "tests/support/fake_peer_network.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

// Criterion's macros come after Boost's headers.
#include <criterion/criterion.h>

namespace ibismux::tests {
namespace {

using peer::MessageKind;

Task<Result<std::string>> echo(Incarnation from, std::string payload) {
  co_return from.member + ":" + payload;
}

/// Two members on one loop.
struct Pair {
  boost::asio::io_context loop{1};
  FakePeerCluster cluster;
  peer::PeerNetwork& a = cluster.add({"a", 1}, loop.get_executor());
  peer::PeerNetwork& b = cluster.add({"b", 2}, loop.get_executor());
  std::optional<Result<std::string>> outcome;
  std::vector<std::string> heard;
  int lost = 0;

  Pair() {
    b.on_request(MessageKind::kProbe, echo);
    b.on_notify(MessageKind::kGossip,
                [this](const Incarnation&, std::string payload) {
                  this->heard.push_back(std::move(payload));
                });
    a.on_lost([this](const Incarnation&) { ++this->lost; });
  }

  Task<void> ask() {
    const TimePoint deadline = Clock::now() + std::chrono::minutes(1);
    outcome = co_await a.request("b", MessageKind::kProbe, "hi", deadline);
  }
  void start() { boost::asio::co_spawn(loop, ask(), boost::asio::detached); }
  void settle() {
    loop.restart();
    loop.poll();
  }
};

Test(fake_peer_network, a_request_gets_its_response) {
  Pair pair;
  pair.start();
  pair.settle();
  cr_assert(pair.outcome.has_value() && **pair.outcome == "a:hi");
}

Test(fake_peer_network, held_frames_arrive_in_order_when_released) {
  Pair pair;
  pair.cluster.hold("a", "b");
  cr_assert(pair.a.notify("b", MessageKind::kGossip, "1"));
  cr_assert(pair.a.notify("b", MessageKind::kGossip, "2"));
  pair.settle();
  cr_assert(pair.heard.empty() && pair.cluster.held("a", "b") == 2);
  pair.cluster.deliver_held("a", "b");
  pair.settle();
  cr_assert((pair.heard == std::vector<std::string>{"1", "2"}));
}

Test(fake_peer_network, a_cut_fails_what_is_under_way_as_unknown) {
  Pair pair;
  pair.cluster.hold("b", "a");
  pair.start();
  pair.settle();
  pair.cluster.cut("a", "b");
  pair.settle();
  cr_assert(pair.lost == 1);
  cr_assert(pair.outcome.has_value() && !pair.outcome->has_value());
  cr_assert(pair.outcome->error().execution == Execution::kUnknown);
  cr_assert(!pair.a.notify("b", MessageKind::kGossip, "3"));
  pair.start();
  pair.settle();
  cr_assert(pair.outcome->error().execution == Execution::kNotRun);
}

}  // namespace
}  // namespace ibismux::tests
