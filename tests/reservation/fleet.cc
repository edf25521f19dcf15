#include "tests/reservation/fleet.h"

#include <prometheus/registry.h>

#include <boost/asio/detached.hpp>
#include <thread>

#include "ibismux/reservation/bucket_owner.h"
#include "ibismux/reservation/key_hash.h"

namespace ibismux::reservation {

namespace {

/// Loops are never destroyed: what waits on one loop may hold a timer of
/// another, and a killed daemon's must stay where it is.
std::vector<std::unique_ptr<IoPool>>& kept_pools() {
  static std::vector<std::unique_ptr<IoPool>> pools;
  return pools;
}

constexpr std::size_t kLeafs = 4;
constexpr std::chrono::seconds kTestLimit{20};

Task<> fill(Fleet::Outcome outcome, Task<Result<ReservationAnswer>> task) {
  auto result = co_await std::move(task);
  outcome->emplace(std::move(result));
}

}  // namespace

std::shared_ptr<release::Release> spares_release() {
  auto made = std::make_shared<release::Release>();
  made->generation = 1;
  for (std::size_t i = 0; i < kLeafs; ++i) {
    release::BackendServer leaf;
    leaf.name = "leaf-" + std::to_string(i);
    made->leafs.push_back(std::move(leaf));
  }
  auto snapshot = std::make_shared<release::SnapshotView>();
  snapshot->name = "snapshot-1";
  snapshot->sequence = 1;
  snapshot->shards = {{"low", 0, 32768, {0, 1}},
                      {"high", 32768, 65536, {2, 3}}};
  auto service = std::make_shared<release::ServiceView>();
  service->spec.name = "spares";
  service->spec.deadline = std::chrono::seconds(10);
  service->snapshots.push_back(std::move(snapshot));
  made->services["spares"] = std::move(service);
  return made;
}

/// One engine with what it needs. The loop is the test's thread.
struct Fleet::Daemon {
  Daemon(std::string name, std::uint64_t number)
      : own{std::move(name), number},
        pool(*kept_pools().emplace_back(std::make_unique<IoPool>(1))),
        members(std::make_shared<membership::MembershipView>()) {}

  Incarnation own;
  IoPool& pool;
  RcuCell<membership::MembershipView> members;
  prometheus::Registry metrics;
  std::map<std::size_t, membership::Member::State> beliefs;
  bool frozen = false;
  std::unique_ptr<ReservationEngine> engine;  ///< Null: killed.
};

ReservationSettings Fleet::quick() {
  ReservationSettings settings;
  settings.linger = std::chrono::milliseconds(5);
  settings.least_interval = std::chrono::milliseconds(1);
  settings.outcome_linger = std::chrono::milliseconds(5);
  settings.fresh = std::chrono::milliseconds(10);
  settings.owner_patience = std::chrono::milliseconds(50);
  return settings;
}

Fleet::Fleet(std::size_t daemons, ReservationSettings settings)
    : releases(spares_release()), settings(settings) {
  this->daemons.resize(daemons);
  for (std::size_t i = 0; i < daemons; ++i) {
    this->start(i);
  }
  for (std::size_t i = 0; i < daemons; ++i) {
    this->publish(i);
  }
}

Fleet::~Fleet() = default;

std::string Fleet::name(std::size_t daemon) const {
  return "host-" + std::to_string(daemon);
}

ReservationEngine& Fleet::engine(std::size_t daemon) {
  return *this->daemons[daemon]->engine;
}

void Fleet::start(std::size_t daemon) {
  auto fresh =
      std::make_unique<Daemon>(this->name(daemon), this->next_incarnation++);
  auto& network = this->peers.add(fresh->own, fresh->pool.at(0).get_executor());
  fresh->engine = std::make_unique<ReservationEngine>(
      fresh->pool, this->releases, fresh->members, this->leafs, network,
      this->store, fresh->metrics, this->settings);
  this->daemons[daemon] = std::move(fresh);
}

void Fleet::publish(std::size_t viewer) {
  Daemon& daemon = *this->daemons[viewer];
  auto view = std::make_shared<membership::MembershipView>();
  view->revision = daemon.members.read()->revision + 1;
  view->self = this->name(viewer);
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    membership::Member member;
    member.name = this->name(i);
    member.incarnation = this->daemons[i]->own.number;
    member.state = daemon.beliefs[i];
    view->members.push_back(std::move(member));
  }
  daemon.members.write(std::move(view));
}

Fleet::Outcome Fleet::reserve(std::size_t daemon,
                              std::string key,
                              std::string body,
                              std::chrono::milliseconds deadline) {
  ReservationRequest request;
  request.service = "spares";
  request.received = Clock::now();
  request.deadline = deadline;
  request.item = body;
  request.key = std::move(key);
  request.body = std::make_shared<const std::string>(std::move(body));
  auto outcome = std::make_shared<std::optional<Result<ReservationAnswer>>>();
  boost::asio::co_spawn(
      this->daemons[daemon]->pool.at(0),
      fill(outcome, this->engine(daemon).reserve(std::move(request))),
      boost::asio::detached);
  return outcome;
}

Fleet::Outcome Fleet::ask(std::size_t daemon, std::string key) {
  auto outcome = std::make_shared<std::optional<Result<ReservationAnswer>>>();
  boost::asio::co_spawn(
      this->daemons[daemon]->pool.at(0),
      fill(outcome, this->engine(daemon).ask("spares", std::move(key),
                                             Clock::now() + kPatience)),
      boost::asio::detached);
  return outcome;
}

bool Fleet::wait(const std::function<bool()>& done) {
  const TimePoint limit = Clock::now() + kTestLimit;
  while (!done()) {
    if (Clock::now() > limit) {
      return false;
    }
    std::size_t handled = 0;
    for (auto& daemon : this->daemons) {
      handled += daemon->frozen ? 0 : daemon->pool.at(0).poll();
    }
    if (handled == 0) {  // All wait for timers.
      std::this_thread::sleep_for(std::chrono::microseconds(200));
    }
  }
  return true;
}

Result<ReservationAnswer> Fleet::get(const Outcome& outcome) {
  if (!this->wait([outcome] { return outcome->has_value(); })) {
    return fail(ErrorKind::kInternal, "the test's limit passed");
  }
  return **outcome;
}

void Fleet::freeze(std::size_t daemon) {
  this->daemons[daemon]->frozen = true;
}

void Fleet::thaw(std::size_t daemon) {
  this->daemons[daemon]->frozen = false;
}

void Fleet::kill(std::size_t daemon) {
  this->peers.crash(this->name(daemon));
  const Incarnation own = this->daemons[daemon]->own;
  this->dead.push_back(std::move(this->daemons[daemon]));
  this->daemons[daemon] = std::make_unique<Daemon>(own.member, own.number);
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    this->believe(i, daemon, membership::Member::State::kFailed);
  }
}

void Fleet::restart(std::size_t daemon) {
  this->start(daemon);
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    this->believe(i, daemon, membership::Member::State::kAlive);
  }
}

void Fleet::replace_unseen(std::size_t daemon) {
  this->dead.push_back(std::move(this->daemons[daemon]));
  this->start(daemon);
  this->publish(daemon);
}

bool Fleet::alive(std::size_t daemon) const {
  return this->daemons[daemon]->engine != nullptr;
}

std::size_t Fleet::owner_of(const std::string& key) const {
  const auto view = this->daemons.front()->members.read();
  const std::string owner =
      bucket_owners(*view, bucket_of(hash_key("spares", key)), 1).front();
  std::size_t daemon = 0;
  while (this->name(daemon) != owner) {
    ++daemon;
  }
  return daemon;
}

void Fleet::believe(std::size_t viewer,
                    std::size_t member,
                    membership::Member::State state) {
  this->daemons[viewer]->beliefs[member] = state;
  this->publish(viewer);
}

}  // namespace ibismux::reservation
