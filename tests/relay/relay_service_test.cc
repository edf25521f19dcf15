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

/// A layout that gives even the few sample objects index chunks.
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

/// Writes a release to the platform as a publisher does.
void publish(DaemonFleet& fleet,
             Generation generation,
             const release::ReleaseLayout& layout = {}) {
  const Encoded encoded = encode_release(generation, layout);
  for (const auto& chunk : encoded.chunks) {
    fleet.platform.force_put(store::kReleases, chunk.name, chunk.bytes);
  }
  fleet.platform.force_put(store::kReleases, release::kHeadName, encoded.head);
}

/// Offers a release to one daemon's store as its publisher does.
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

// Failure: during a platform outage, an accepted change reaches only the daemon
// that published it.
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

// Failure: a release large enough for index chunks reaches only the daemon that
// published it.
Test(relay_service, a_release_with_index_chunks_reaches_every_daemon) {
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

// Failure: fetching a change takes three round trips on each level of the tree,
// because an answer contains only the parts that were requested.
Test(relay_service, an_answer_includes_parts_newer_than_the_requester_has) {
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

/// A fetcher with two loops: `pool` serves requests, and releases are put in
/// force on `offer_pool`.
struct OfferFixture {
  OfferFixture()
      : view(std::make_shared<const membership::MembershipView>()),
        network(pool, peer::PeerSettings{}, view, registry),
        fetcher(settings, network, platform, releases, &offer_pool.at(0)) {
    this->pool.start();
    this->offer_pool.start();
  }
  ~OfferFixture() {
    this->offer_pool.stop();
    this->pool.stop();
  }

  void publish_to_platform(Generation generation) {
    const Encoded encoded = encode_release(generation);
    for (const auto& chunk : encoded.chunks) {
      this->platform.force_put(store::kReleases, chunk.name, chunk.bytes);
    }
    this->platform.force_put(store::kReleases, release::kHeadName,
                             encoded.head);
  }

  /// Applies the release on the platform. @return Whether there was no error.
  bool apply_from_platform() {
    return boost::asio::co_spawn(this->pool.at(0),
                                 this->fetcher.fetch_from_platform(),
                                 boost::asio::use_future)
        .get()
        .has_value();
  }

  /// Makes the store's listener wait until the loop of `pool` has run a
  /// handler.
  void check_loop_on_change() {
    this->releases.on_change([this](Generation) {
      this->origin = ReleaseFetcher::offer_origin();
      auto handler_ran = std::make_shared<std::promise<void>>();
      auto handler_done = handler_ran->get_future();
      boost::asio::post(this->pool.at(0),
                        [handler_ran] { handler_ran->set_value(); });
      this->loop_responsive = handler_done.wait_for(std::chrono::seconds(60)) ==
                              std::future_status::ready;
    });
  }

  IoPool pool{1};
  IoPool offer_pool{1};
  RcuCell<membership::MembershipView> view;
  prometheus::Registry registry;
  ibismux::testing::MemoryObjectStore platform;
  release::ReleaseStore releases;
  peer::TcpPeerNetwork network;
  const RelaySettings settings;
  ReleaseFetcher fetcher;
  bool loop_responsive = false;
  Origin origin = Origin::kPublishedHere;
};

// Failure: putting a release in force blocks the loop that serves queries.
Test(relay_service,
     the_io_loop_is_not_blocked_while_a_release_is_put_in_force) {
  OfferFixture fixture;
  fixture.check_loop_on_change();
  fixture.publish_to_platform(5);
  cr_assert(fixture.apply_from_platform());
  cr_assert(fixture.loop_responsive);
  cr_assert(fixture.origin == Origin::kPlatform);
  cr_assert(fixture.releases.generation() == 5);
  fixture.publish_to_platform(3);
  cr_assert(fixture.apply_from_platform());
  cr_assert(fixture.releases.generation() == 5);
}

// Failure: after a rolling restart during a platform outage, no daemon has a
// configuration.
Test(relay_service, a_rolling_restart_during_an_outage_keeps_the_release) {
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

// Failure: a watch event for an older release makes a daemon go back to an
// older configuration.
Test(relay_service, an_older_release_is_ignored) {
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

// Failure: a daemon that was paused reverts later changes when it resumes.
Test(relay_service, a_frozen_daemon_catches_up_after_resuming) {
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
