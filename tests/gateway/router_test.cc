#include "ibismux/gateway/router.h"

#include <prometheus/registry.h>

#include "ibismux/gateway/connection_share.h"
#include "ibismux/gateway/remote_gateway.h"
#include "tests/gateway/fake_leaf.h"
#include "tests/gateway/fake_peers.h"
#include "tests/gateway/gateway_harness.h"

#include <criterion/criterion.h>

namespace ibismux::gateway {
namespace {

using testing::Answers;
using testing::eventually;
using testing::FakeLeaf;
using testing::FakePeers;

/// Computes nothing while it is held: as where a release has just come, and the
/// table for it takes its time.
class HeldOwnership : public OwnershipStrategy {
 public:
  struct Latch {
    std::mutex mutex;
    std::condition_variable opened;
    bool held = false;

    void hold(bool now) {
      std::lock_guard lock(this->mutex);
      this->held = now;
      this->opened.notify_all();
    }
  };

  explicit HeldOwnership(Latch& latch)
      : latch(latch), inner(make_ownership("gateway")) {}

  [[nodiscard]] std::shared_ptr<const OwnershipTable> assign(
      const release::Release& release,
      const membership::MembershipView& view) const override {
    std::unique_lock lock(this->latch.mutex);
    this->latch.opened.wait(lock, [this] { return !this->latch.held; });
    return this->inner->assign(release, view);
  }

 private:
  Latch& latch;
  std::unique_ptr<OwnershipStrategy> inner;
};

/// One daemon: gateways and router over a view that the test sets.
class Daemon {
 public:
  explicit Daemon(const std::string& name)
      : pool(1),
        peers(name),
        releases(std::make_shared<const release::Release>()),
        members(std::make_shared<const membership::MembershipView>()),
        local(this->pool, this->metrics),
        remote(this->pool, this->peers, this->local, this->metrics),
        router(this->releases,
               this->members,
               this->local,
               &this->remote,
               std::make_unique<HeldOwnership>(this->latch),
               this->metrics) {
    this->pool.start();
  }
  ~Daemon() { this->pool.stop(); }

  /// @return Whether the router took the view up.
  [[nodiscard]] bool see(std::vector<release::BackendServer> leafs,
                         const std::vector<std::string>& names) {
    const std::size_t count = leafs.size();
    this->tell(std::move(leafs), names);
    return eventually([&] {
      const auto table = this->router.ownership().read();
      return table->members == names && table->leafs.size() == count;
    });
  }

  /// The next release, and a view.
  void tell(std::vector<release::BackendServer> leafs,
            const std::vector<std::string>& names) {
    auto release = std::make_shared<release::Release>();
    release->generation = this->releases.read()->generation + 1;
    release->leafs = std::move(leafs);
    auto view = std::make_shared<membership::MembershipView>();
    view->self = this->peers.self().member;
    for (const std::string& name : names) {
      view->members.push_back({name, 1, "", 0, "", {}});
    }
    // In this order, as in the daemon, which is in its own view before a
    // release can reach it: a table of the new release over a view without
    // members, which the router may compute between the two, has no owners.
    this->members.write(view);
    this->releases.write(release);
    this->router.refresh();
  }

  void call(Answers& answers, std::size_t count, const std::string& leaf) {
    LeafCallBatch batch;
    batch.origin = 7;
    batch.snapshot = "s";
    batch.deadline = Clock::now() + std::chrono::seconds(20);
    batch.body = std::make_shared<const std::string>("body");
    for (std::size_t i = 0; i < count; ++i) {
      batch.items.push_back({++this->sequence, leaf, "shard"});
    }
    this->router.call(std::move(batch), this->pool.at(0).get_executor(),
                      answers.sink());
  }

  HeldOwnership::Latch latch;
  IoPool pool;
  prometheus::Registry metrics;
  FakePeers peers;
  RcuCell<release::Release> releases;
  RcuCell<membership::MembershipView> members;
  LocalGateway local;
  RemoteGateway remote;
  Router router;
  std::uint64_t sequence = 0;
};

/// Several names of one leaf, so that each daemon owns one.
std::vector<release::BackendServer> leafs_of(const FakeLeaf& leaf) {
  constexpr int kNames = 8;
  std::vector<release::BackendServer> leafs;
  for (int i = 0; i < kNames; ++i) {
    leafs.push_back(leaf.object("leaf" + std::to_string(i)));
  }
  return leafs;
}

/// A leaf whose first owner in the router's table is `owner`.
std::string leaf_owned_by(const std::string& owner, const Router& router) {
  const auto table = router.ownership().read();
  for (const std::string& name : table->leafs) {
    if (table->member_of(table->owners_of(name)[0]) == owner) {
      return name;
    }
  }
  return {};
}

std::size_t connections_of(Daemon& daemon, const std::string& leaf) {
  auto all = boost::asio::co_spawn(daemon.pool.at(0), daemon.local.status(),
                                   boost::asio::use_future);
  for (const LeafStatus& status : all.get()) {
    if (status.leaf == leaf) {
      return status.connections;
    }
  }
  return 0;
}

/// Has `daemon` call `name` `count` times after a release brought the leaf
/// "fresh", and before its owners are known.
void call_too_early(Daemon& daemon,
                    const FakeLeaf& leaf,
                    Answers& answers,
                    std::size_t count,
                    const std::string& name = "fresh") {
  daemon.latch.hold(true);
  daemon.tell({leaf.object("fresh")}, {"a"});
  daemon.call(answers, count, name);
}

bool all_answered(Answers& answers) {
  for (std::size_t i = 0; i < answers.size(); ++i) {
    if (!answers[i].body) {
      return false;
    }
  }
  return true;
}

}  // namespace

Test(router, calls_reach_the_leaf_through_its_owner) {
  const std::vector<std::string> names = {"a", "b"};
  FakeLeaf leaf;
  Daemon a("a");
  Daemon b("b");
  a.peers.connect(b.peers);
  cr_assert(a.see(leafs_of(leaf), names));
  cr_assert(b.see(leafs_of(leaf), names));
  const std::string name = leaf_owned_by("b", a.router);
  Answers answers;
  a.call(answers, 20, name);
  cr_assert(answers.wait(20));
  cr_assert(all_answered(answers));
  cr_assert(a.peers.frames(peer::MessageKind::kLeafCalls) == 1);
  // A stand-by that nobody calls opens no connection, and the gateway stays
  // within its share.
  cr_assert(connections_of(a, name) == 0);
  cr_assert(connections_of(b, name) <= rank_share(25, 0));
}

// Failure: leafs of a failed daemon can't be asked until its failure is agreed.
Test(router, unsent_calls_go_to_the_next_owner) {
  const std::vector<std::string> names = {"a", "b"};
  FakeLeaf leaf;
  Daemon a("a");
  cr_assert(a.see(leafs_of(leaf), names));
  const std::string name = leaf_owned_by("b", a.router);
  Answers answers;
  a.call(answers, 5, name);
  cr_assert(answers.wait(5));
  cr_assert(all_answered(answers));
}

// Failure: queries for a killed daemon's leafs spend the retry budget.
Test(router, queries_that_waited_for_a_failed_dial_go_to_the_next_owner) {
  const std::vector<std::string> names = {"a", "b"};
  FakeLeaf leaf;
  Daemon a("a");
  Daemon b("b");
  a.peers.connect(b.peers);
  cr_assert(a.see(leafs_of(leaf), names));
  a.peers.withhold(true);
  Answers answers;
  a.call(answers, 5, leaf_owned_by("b", a.router));
  a.peers.fail_dial("b");
  cr_assert(answers.wait(5));
  cr_assert(all_answered(answers));
}

// Failure: calls fail while two daemons' views differ.
Test(router, owner_without_a_share_passes_calls_to_the_next) {
  const std::vector<std::string> names = {"a", "b"};
  FakeLeaf leaf;
  Daemon a("a");
  Daemon b("b");
  a.peers.connect(b.peers);
  cr_assert(a.see(leafs_of(leaf), names));
  const std::string name = leaf_owned_by("b", a.router);
  Answers answers;
  a.call(answers, 5, name);
  cr_assert(answers.wait(5));
  cr_assert(all_answered(answers));
}

// Failure: leafs of the newest release are refused as if unowned.
Test(router, calls_wait_for_the_table_of_a_newer_release) {
  FakeLeaf leaf;
  Daemon a("a");
  Answers answers;
  call_too_early(a, leaf, answers, 6);
  a.latch.hold(false);
  cr_assert(answers.wait(6));
  cr_assert(all_answered(answers));
}

Test(router, call_that_waits_for_a_table_is_cancelled_not_run) {
  FakeLeaf leaf;
  Daemon a("a");
  Answers answers;
  call_too_early(a, leaf, answers, 2);
  a.router.cancel({{7, 1}});
  cr_assert(answers.wait(1));
  cr_assert(answers[0].id.sequence == 1);
  cr_assert(answers[0].body.error().kind == ErrorKind::kCancelled);
  cr_assert(answers[0].body.error().execution == Execution::kNotRun);
  a.latch.hold(false);
  cr_assert(answers.wait(2));
  cr_assert(answers[1].body.has_value());
  cr_assert(leaf.count("/v1/query") == 1);
}

Test(router, call_waits_for_one_table_only) {
  FakeLeaf leaf;
  Daemon a("a");
  Answers answers;
  call_too_early(a, leaf, answers, 1, "unknown");
  a.latch.hold(false);
  cr_assert(answers.wait(1));
  cr_assert(answers[0].body.error().kind == ErrorKind::kLeafUnavailable);
  cr_assert(answers[0].body.error().execution == Execution::kNotRun);
}

Test(router, leaf_that_nobody_owns_is_refused_not_run) {
  Daemon a("a");
  Answers answers;
  a.call(answers, 2, "unknown");
  cr_assert(answers.wait(2));
  cr_assert(answers[1].body.error().kind == ErrorKind::kLeafUnavailable);
  cr_assert(answers[1].body.error().execution == Execution::kNotRun);
}

}  // namespace ibismux::gateway
