#include "ibismux/relay/relay_service.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>
#include <future>

#include "ibismux/relay/release_fetcher.h"
#include "ibismux/release/assembly.h"
#include "ibismux/release/release_contents.h"
#include "tests/release/sample_objects.h"
#include "tests/support/daemon_fleet.h"

// Criterion's macros come after Boost's headers.
#include <criterion/criterion.h>

namespace ibismux::relay {
namespace {

using tests::ControlNode;
using tests::DaemonFleet;

struct Encoded {
  std::string head;
  std::vector<release::Assembly::NewChunk> chunks;
};

/// By it, the few objects of the sample have index chunks.
constexpr release::ReleaseLayout kTwoLevels{.objects_per_chunk = 1,
                                            .fewest_chunks = 16,
                                            .most_direct_chunks = 8};

Encoded encode_release(Generation generation,
                       const release::ReleaseLayout& layout = {}) {
  release::Head head;
  head.generation = generation;
  head.publication = "p" + std::to_string(generation);
  const release::Assembly assembly = release::assemble(
      {}, release::testing::sample_objects(), {}, std::move(head), layout);
  return {release::encode_head(assembly.head), assembly.chunks};
}

/// Puts a release on the platform, as a publisher does.
void publish(DaemonFleet& fleet,
             Generation generation,
             const release::ReleaseLayout& layout = {}) {
  const Encoded encoded = encode_release(generation, layout);
  for (const auto& chunk : encoded.chunks) {
    fleet.platform.force_put(store::kReleases, chunk.name, chunk.bytes);
  }
  fleet.platform.force_put(store::kReleases, release::kHeadName, encoded.head);
}

/// Puts a release into one daemon's store, as its publisher does.
void publish_at(ControlNode& node,
                Generation generation,
                const release::ReleaseLayout& layout = {}) {
  const Encoded encoded = encode_release(generation, layout);
  std::vector<std::string> chunks;
  for (const auto& chunk : encoded.chunks) {
    chunks.push_back(chunk.bytes);
  }
  cr_assert(node.releases.offer(encoded.head, chunks).value_or(false));
}

Test(relay_service, a_release_on_the_platform_reaches_every_daemon) {
  DaemonFleet fleet(7);
  cr_assert(fleet.wait_for_members());
  publish(fleet, 1);
  cr_assert(fleet.wait_for_generation(1));
  publish(fleet, 2);
  cr_assert(fleet.wait_for_generation(2));
  cr_assert(fleet.wait([](const ControlNode& node) {
    const InForceCount count = node.relay.in_force(2);
    return count.reached == 7 && count.members == 7;
  }));
  cr_assert(fleet.nodes[0]->relay.in_force(3).reached == 0);
}

// Failure: an accepted change stays where it is in an outage.
Test(relay_service, peers_carry_a_release_while_the_platform_is_down) {
  DaemonFleet fleet(7);
  publish(fleet, 1);
  cr_assert(fleet.wait_for_members());
  cr_assert(fleet.wait_for_generation(1));
  fleet.platform.set_outage(true);
  fleet.platform.end_watches();
  publish_at(*fleet.nodes[3], 2);
  cr_assert(fleet.wait_for_generation(2));
}

// Failure: a large site's change reaches the publisher's daemon alone.
Test(relay_service, a_release_with_index_chunks_takes_the_same_ways) {
  DaemonFleet fleet(5);
  cr_assert(fleet.wait_for_members());
  publish(fleet, 1, kTwoLevels);
  cr_assert(fleet.wait_for_generation(1));
  fleet.platform.set_outage(true);
  fleet.platform.end_watches();
  publish_at(*fleet.nodes[3], 2, kTwoLevels);
  cr_assert(fleet.wait_for_generation(2));
  fleet.start(1);
  cr_assert(fleet.wait_for_generation(2));
  for (const auto& [i, node] : fleet.nodes) {
    cr_assert(node->releases.contents()->head.indexes.size() == 4);
    cr_assert(node->releases.contents()->objects.size() == 7);
  }
}

// Failure: a change takes three round trips on each level of the tree.
Test(relay_service, an_answer_brings_what_the_asker_cannot_have) {
  DaemonFleet fleet(1);
  cr_assert(fleet.wait_for_members());
  publish_at(*fleet.nodes[0], 2, kTwoLevels);
  auto& node = *fleet.nodes[0];
  const RelaySettings settings;
  const ReleaseFetcher fetcher(settings, node.network, fleet.platform,
                               node.releases);
  const FetchAnswer newer = fetcher.answer({1, {}}, Duration::zero());
  cr_assert(newer.head == node.releases.head());
  cr_assert(newer.chunks.size() == node.releases.written_since(1).size());
  const std::string index =
      release::index_name(node.releases.contents()->head.indexes[0]);
  const FetchAnswer under = fetcher.answer({1, {index}}, Duration::zero());
  cr_assert(under.chunks.size() ==
            1 + node.releases.written_since(1, index).size());
  cr_assert(fetcher.answer({2, {index}}, Duration::zero()).chunks.size() == 1);
  cr_assert(fetcher.answer({2, {}}, Duration::zero()).chunks.empty());
}

/// A fetcher with two loops: `pool` serves, `offers` puts in force.
struct OfferRig {
  OfferRig()
      : view(std::make_shared<const membership::MembershipView>()),
        network(pool, peer::PeerSettings{}, view, registry),
        fetcher(settings, network, platform, releases, &offers.at(0)) {
    this->pool.start();
    this->offers.start();
  }
  ~OfferRig() {
    this->offers.stop();
    this->pool.stop();
  }

  void put(Generation generation) {
    const Encoded encoded = encode_release(generation);
    for (const auto& chunk : encoded.chunks) {
      this->platform.force_put(store::kReleases, chunk.name, chunk.bytes);
    }
    this->platform.force_put(store::kReleases, release::kHeadName,
                             encoded.head);
  }

  /// Takes what is on the platform. @return Whether there was no error.
  bool take() {
    return boost::asio::co_spawn(this->pool.at(0),
                                 this->fetcher.from_platform(),
                                 boost::asio::use_future)
        .get()
        .has_value();
  }

  /// Has the store's listener wait until the serving loop has done a turn.
  void expect_turns() {
    this->releases.on_change([this](Generation) {
      this->origin = ReleaseFetcher::offering();
      auto turned = std::make_shared<std::promise<void>>();
      auto turn = turned->get_future();
      boost::asio::post(this->pool.at(0), [turned] { turned->set_value(); });
      this->served =
          turn.wait_for(std::chrono::seconds(60)) == std::future_status::ready;
    });
  }

  IoPool pool{1};
  IoPool offers{1};
  RcuCell<membership::MembershipView> view;
  prometheus::Registry registry;
  ibismux::testing::MemoryObjectStore platform;
  release::ReleaseStore releases;
  peer::TcpPeerNetwork network;
  const RelaySettings settings;
  ReleaseFetcher fetcher;
  bool served = false;
  Origin origin = Origin::kPublishedHere;
};

// Failure: queries wait while a release is put in force.
Test(relay_service, a_loop_serves_while_a_release_is_put_in_force) {
  OfferRig rig;
  rig.expect_turns();
  rig.put(5);
  cr_assert(rig.take());
  cr_assert(rig.served);
  cr_assert(rig.origin == Origin::kPlatform);
  cr_assert(rig.releases.generation() == 5);
  rig.put(3);
  cr_assert(rig.take());
  cr_assert(rig.releases.generation() == 5);
}

// Failure: after a rolling restart in an outage nobody has a configuration.
Test(relay_service, every_daemon_is_replaced_during_an_outage) {
  DaemonFleet fleet(5);
  publish(fleet, 4);
  cr_assert(fleet.wait_for_members());
  cr_assert(fleet.wait_for_generation(4));
  fleet.platform.set_outage(true);
  fleet.platform.end_watches();
  for (std::size_t i = 0; i < 5; ++i) {
    fleet.start(i);
    cr_assert(fleet.wait_for_generation(4));
  }
  cr_assert(fleet.wait_for_members());
}

// Failure: a daemon goes back to an older configuration.
Test(relay_service, an_old_event_does_nothing) {
  DaemonFleet fleet(3);
  publish(fleet, 5);
  cr_assert(fleet.wait_for_members());
  cr_assert(fleet.wait_for_generation(5));
  publish(fleet, 3);
  publish(fleet, 6);
  cr_assert(fleet.wait_for_generation(6));
  for (const auto& [i, node] : fleet.nodes) {
    cr_assert(node->releases.generation() == 6);
  }
}

// Failure: a paused daemon comes back and undoes what happened meanwhile.
Test(relay_service, a_frozen_daemon_wakes_and_catches_up) {
  DaemonFleet fleet(4);
  publish(fleet, 1);
  cr_assert(fleet.wait_for_members());
  cr_assert(fleet.wait_for_generation(1));
  const auto thaw = fleet.nodes[2]->freeze();
  cr_assert(fleet.wait([](const ControlNode& node) {
    const auto view = node.view.read();
    return view->self == DaemonFleet::name(2) || view->serving() == 3;
  }));
  publish(fleet, 2);
  cr_assert(fleet.wait([](const ControlNode& node) {
    return node.view.read()->self == DaemonFleet::name(2) ||
           node.releases.generation() == 2;
  }));
  thaw->set_value();
  cr_assert(fleet.wait_for_generation(2));
  cr_assert(fleet.wait_for_members());
}

}  // namespace
}  // namespace ibismux::relay
