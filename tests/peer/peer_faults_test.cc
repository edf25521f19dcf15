#include "ibismux/peer/tcp_peer_network.h"

#include <boost/endian/conversion.hpp>

#include "tests/peer/peer_node.h"
#include "tests/peer/raw_peer.h"
#include "tests/support/bound_port.h"

// Criterion's macros come after Boost's headers.
#include <criterion/criterion.h>

namespace ibismux::peer {
namespace {

Task<Result<std::string>> grow(Incarnation, std::string) {
  co_return std::string(1'000'000, 'x');
}

/// Two nodes that know each other and have heard nothing yet.
struct Pair {
  PeerNode a{"a"};
  PeerNode b{"b"};

  Pair() {
    a.start();
    b.start();
    a.knows("b", b.port);
    b.knows("a", a.port);
  }
};

// Failure: frames are lost, or sent twice, when two daemons meet.
Test(peer_faults, crossing_dials_lose_nothing) {
  for (int round = 0; round < 20; ++round) {
    Pair pair;
    for (int i = 0; i < 50; ++i) {
      cr_assert(
          pair.a.network.notify("b", MessageKind::kGossip, std::to_string(i)));
      cr_assert(
          pair.b.network.notify("a", MessageKind::kGossip, std::to_string(i)));
    }
    cr_assert(pair.b.heard.wait(50).size() == 50);
    cr_assert(pair.a.heard.wait(50).size() == 50);
    cr_assert(pair.a.lost.size() == 0 && pair.b.lost.size() == 0);
  }
}

// Failure: a daemon's memory jumps, or it ends.
Test(peer_faults, an_oversized_frame_ends_the_connection) {
  PeerNode node("a");
  node.start();
  RawPeer raw(node.port);
  raw.send_hello(RawPeer::hello("raw"));
  cr_assert(raw.receive_hello().has_value());
  std::string header;
  append_frame(header, 4, FrameRole::kNotify, 0, "");
  boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(header.data()),
                               0xfffffff0);
  raw.send(header);
  cr_assert(raw.ended());
  cr_assert(node.lost.wait(1).size() == 1);
}

// Failure: a port scanner or an HTTP client disturbs the daemon.
Test(peer_faults, garbage_ends_the_connection_and_nothing_else) {
  Pair pair;
  RawPeer stranger(pair.a.port);
  stranger.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  cr_assert(stranger.ended());
  RawPeer broken(pair.a.port);
  broken.send_hello(RawPeer::hello("raw"));
  cr_assert(broken.receive_hello().has_value());
  broken.send(std::string(64, '\xff'));
  cr_assert(broken.ended());
  cr_assert(pair.b.network.notify("a", MessageKind::kGossip, "fine"));
  cr_assert(pair.a.heard.wait(1).size() == 1);
}

// Failure: daemons of two releases, or of two clusters, mix their messages.
Test(peer_faults, another_version_and_another_cluster_are_refused) {
  PeerNode node("a");
  node.start();
  wire::Hello other_version = RawPeer::hello("raw");
  other_version.__set_version(kProtocolVersion + 1);
  wire::Hello other_cluster = RawPeer::hello("raw");
  other_cluster.__set_cluster("elsewhere");
  wire::Hello same_name = RawPeer::hello("a");
  for (const auto& hello : {other_version, other_cluster, same_name}) {
    RawPeer raw(node.port);
    raw.send_hello(hello);
    const auto answer = raw.receive_hello();
    cr_assert(answer.has_value() && !answer->refusal.empty());
    cr_assert(raw.ended());
  }
  cr_assert(node.lost.size() == 0);
}

Test(peer_faults, a_refused_dialler_is_told_not_run) {
  PeerNode a("a");
  PeerSettings settings = PeerNode::named("b");
  settings.cluster = "elsewhere";
  PeerNode b(settings);
  a.start();
  b.start();
  a.knows("b", b.port);
  a.ask("b", "hi");
  const auto outcomes = a.outcomes.wait(1);
  cr_assert(outcomes.size() == 1 && !outcomes[0]);
  cr_assert(outcomes[0].error().execution == Execution::kNotRun);
}

// Failure: a daemon's memory grows until it ends.
Test(peer_faults, a_peer_that_does_not_read_responses_is_cut) {
  PeerNode node(PeerNode::named("a"));
  node.network.on_request(MessageKind::kProbe, grow);
  node.start();
  RawPeer raw(node.port);
  raw.send_hello(RawPeer::hello("raw"));
  cr_assert(raw.receive_hello().has_value());
  std::string requests;
  for (int i = 1; i <= 100; ++i) {
    append_frame(requests, static_cast<std::uint8_t>(MessageKind::kProbe),
                 FrameRole::kRequest, static_cast<std::uint64_t>(i), "x");
  }
  raw.send(requests);
  const auto lost = node.lost.wait(1);
  cr_assert(lost.size() == 1 && lost[0] == Incarnation({"raw", 42}));
}

// Failure: as above, with what this daemon itself sends.
Test(peer_faults, a_full_queue_refuses_frames) {
  PeerSettings settings = PeerNode::named("a");
  settings.most_queued_bytes = 1'000'000;
  PeerNode node(settings);
  node.start();
  RawPeer raw(node.port);
  raw.send_hello(RawPeer::hello("raw"));
  cr_assert(raw.receive_hello().has_value());
  std::size_t taken = 0;
  node.wait_for_connections(1);
  cr_assert(node.network.notify("raw", MessageKind::kGossip, "first"));
  cr_assert(raw.receive().has_value());
  const std::string large(100'000, 'x');
  while (taken < 10'000 &&
         node.network.notify("raw", MessageKind::kGossip, large)) {
    ++taken;
  }
  cr_assert(taken < 10'000, "nothing bounds the queue");
}

// Failure: a dead process and its successor are taken for each other.
Test(peer_faults, a_new_incarnation_replaces_the_old_one) {
  PeerNode node("a");
  node.start();
  RawPeer old_run(node.port);
  old_run.send_hello(RawPeer::hello("raw"));
  cr_assert(old_run.receive_hello().has_value());
  RawPeer new_run(node.port);
  wire::Hello hello = RawPeer::hello("raw");
  hello.__set_incarnation(43);
  new_run.send_hello(hello);
  cr_assert(new_run.receive_hello().has_value());
  cr_assert(old_run.ended());
  const auto lost = node.lost.wait(1);
  cr_assert(lost.size() == 1 && lost[0].number == 42);
  node.wait_for_connections(1);
  cr_assert(node.network.notify("raw", MessageKind::kGossip, "to the new one"));
  cr_assert(new_run.receive() == "to the new one");
}

// Failure: an idle or stopping daemon is suspected.
Test(peer_faults, a_goodbye_is_not_a_loss) {
  Pair pair;
  cr_assert(pair.a.network.notify("b", MessageKind::kGossip, "1"));
  cr_assert(pair.b.heard.wait(1).size() == 1);
  pair.a.network.say_goodbye();
  pair.a.wait_for_connections(0);
  pair.a.stop();
  // The dial that this makes fails; it is the only loss.
  const tests::BoundPort nobody;
  pair.b.knows("a", nobody.port());
  cr_assert(pair.b.network.notify("a", MessageKind::kGossip, "2"));
  const auto lost = pair.b.lost.wait(1);
  cr_assert(lost.size() == 1 && lost[0].number == 0);
}

// Failure: a query waits for its deadline at a gateway that has stopped.
Test(peer_faults, a_goodbye_without_acknowledgement_is_a_loss) {
  PeerNode node("a");
  node.start();
  RawPeer raw(node.port);
  raw.send_hello(RawPeer::hello("raw"));
  cr_assert(raw.receive_hello().has_value());
  node.wait_for_connections(1);
  cr_assert(node.network.notify("raw", MessageKind::kGossip, "work"));
  std::string goodbye;
  append_frame(goodbye, 0, FrameRole::kGoodbye, 0, "");
  raw.send(goodbye);
  cr_assert(raw.receive() == "work");
  cr_assert(raw.receive() == "");  // Its goodbye.
  raw.socket.close();
  cr_assert(node.lost.wait(1).size() == 1);
}

}  // namespace
}  // namespace ibismux::peer
