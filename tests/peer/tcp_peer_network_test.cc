#include "ibismux/peer/tcp_peer_network.h"

#include "tests/peer/peer_node.h"
#include "tests/support/bound_port.h"

// Criterion's macros come after Boost's headers.
#include <criterion/criterion.h>

namespace ibismux::peer {
namespace {

Task<Result<std::string>> echo(Incarnation from, std::string payload) {
  co_return from.member + ":" + payload;
}

Task<Result<std::string>> refuse(Incarnation, std::string) {
  Error error = make_error(ErrorKind::kOverloaded, "too much");
  error.execution = Execution::kNotRun;
  error.retry_after = std::chrono::milliseconds(250);
  co_return tl::unexpected<Error>(std::move(error));
}

Test(tcp_peer_network, notifications_and_requests_arrive) {
  PeerNode a("a");
  PeerNode b("b");
  b.network.on_request(MessageKind::kProbe, echo);
  a.start();
  b.start();
  a.knows("b", b.port);
  cr_assert(a.network.notify("b", MessageKind::kGossip, "news"));
  a.ask("b", "hi");
  const auto heard = b.heard.wait(1);
  cr_assert(heard.size() == 1 && heard[0] == "news");
  const auto outcomes = a.outcomes.wait(1);
  cr_assert(outcomes.size() == 1 && outcomes[0] && *outcomes[0] == "a:hi");
}

Test(tcp_peer_network, the_accepting_side_answers_on_the_same_connection) {
  PeerNode a("a");
  PeerNode b("b");
  a.start();
  b.start();
  a.knows("b", b.port);
  a.network.notify("b", MessageKind::kGossip, "first");
  cr_assert(b.heard.wait(1).size() == 1);
  // b was never told where a listens.
  cr_assert(b.network.notify("a", MessageKind::kGossip, "back"));
  cr_assert(a.heard.wait(1).size() == 1);
}

Test(tcp_peer_network, an_error_keeps_what_it_promises) {
  PeerNode a("a");
  PeerNode b("b");
  b.network.on_request(MessageKind::kProbe, refuse);
  a.start();
  b.start();
  a.knows("b", b.port);
  a.ask("b", "hi");
  const auto outcomes = a.outcomes.wait(1);
  cr_assert(outcomes.size() == 1 && !outcomes[0]);
  const Error& error = outcomes[0].error();
  cr_assert(error.kind == ErrorKind::kOverloaded);
  cr_assert(error.execution == Execution::kNotRun);
  cr_assert(error.retry_after == std::chrono::milliseconds(250));
}

Test(tcp_peer_network, a_frame_larger_than_the_read_buffer_arrives_whole) {
  PeerNode a("a");
  PeerNode b("b");
  a.start();
  b.start();
  a.knows("b", b.port);
  std::string large(1'000'003, '\0');
  for (std::size_t i = 0; i < large.size(); ++i) {
    large[i] = static_cast<char>(i * 31);
  }
  a.network.notify("b", MessageKind::kGossip, large);
  a.network.notify("b", MessageKind::kGossip, "after");
  const auto heard = b.heard.wait(2);
  cr_assert(heard.size() == 2 && heard[0] == large && heard[1] == "after");
}

// Failure: a query waits for its deadline though its gateway is dead.
Test(tcp_peer_network, a_broken_connection_is_reported_at_once) {
  PeerNode a("a");
  auto b = std::make_unique<PeerNode>("b");
  a.start();
  b->start();
  a.knows("b", b->port);
  a.network.notify("b", MessageKind::kGossip, "hello");
  cr_assert(b->heard.wait(1).size() == 1);
  const Incarnation gone = b->network.self();
  b.reset();
  const auto lost = a.lost.wait(1);
  cr_assert(lost.size() == 1 && lost[0] == gone);
}

// Failure: `not run` is promised for work that may have run, or the reverse.
Test(tcp_peer_network, a_request_that_was_never_sent_says_so) {
  PeerNode a("a");
  const tests::BoundPort nobody;
  a.start();
  a.knows("b", nobody.port());
  a.ask("b", "hi");
  const auto outcomes = a.outcomes.wait(1);
  cr_assert(outcomes.size() == 1 && !outcomes[0]);
  cr_assert(outcomes[0].error().kind == ErrorKind::kPeerUnavailable);
  cr_assert(outcomes[0].error().execution == Execution::kNotRun);
}

}  // namespace
}  // namespace ibismux::peer
