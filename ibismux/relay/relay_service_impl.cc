#include "ibismux/relay/relay_service_impl.h"

#include <glog/logging.h>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/object.hpp>
#include <optional>
#include <random>
#include <utility>

namespace ibismux::relay {

namespace {

using peer::MessageKind;

constexpr auto kAwait = boost::asio::as_tuple(boost::asio::use_awaitable);
/// A push leaves out a head longer than this, since many peers already have it.
constexpr std::size_t kMaxPushedHeadBytes = 2048;

}  // namespace

RelayService::Impl::Impl(RelaySettings settings,
                         IoPool& pool,
                         peer::PeerNetwork& network,
                         store::ObjectStore& platform,
                         release::ReleaseStore& releases,
                         const RcuCell<membership::MembershipView>& view,
                         prometheus::Registry& registry,
                         release::WorkLoop work)
    : settings(settings),
      loop(pool.at(0)),
      network(network),
      releases(releases),
      view(view),
      metrics(registry),
      fetcher(this->settings, network, platform, releases, work),
      engine(settings, std::random_device{}(), Clock::now()),
      watch(std::make_shared<ReleaseWatch>(this->settings,
                                           loop,
                                           platform,
                                           this->fetcher)),
      tick_timer(loop) {}

void RelayService::Impl::register_handlers() {
  const std::weak_ptr<Impl> weak = this->weak_from_this();
  this->network.on_notify(
      MessageKind::kReleasePush,
      [weak](const Incarnation& from, const std::string& payload) {
        const auto self = weak.lock();
        auto push = decode_push(payload);
        if (self && push) {
          boost::asio::co_spawn(
              self->loop, handle_push(self, from.member, std::move(*push)),
              boost::asio::detached);
        }
      });
  this->network.on_request(
      MessageKind::kReleaseFetch,
      [weak](const Incarnation&,
             std::string payload) -> Task<Result<std::string>> {
        return answer_fetch(weak.lock(), std::move(payload));
      });
  this->network.on_request(
      MessageKind::kInForce,
      [weak](Incarnation from,
             std::string payload) -> Task<Result<std::string>> {
        const auto self = weak.lock();
        return run_on_loop(
            self, handle_report(self, std::move(from), std::move(payload)));
      });
}

void RelayService::Impl::start() {
  const auto self = this->shared_from_this();
  boost::asio::co_spawn(this->loop, run(self), boost::asio::detached);
  this->watch->start(
      [weak = this->weak_from_this()](const Result<void>& result) {
        if (const auto self = weak.lock()) {
          self->on_watch_result(result);
        }
      });
}

void RelayService::Impl::stop() {
  boost::asio::post(this->loop, [self = this->shared_from_this()] {
    self->stopped = true;
    self->tick_timer.cancel();
    self->watch->stop();
  });
}

void RelayService::Impl::on_applied(Generation generation) {
  const Origin origin = ReleaseFetcher::offer_origin();
  this->metrics.generation->Set(static_cast<double>(generation));
  if (origin == Origin::kPeer) {
    this->metrics.from_peers->Increment();
  } else if (origin == Origin::kPlatform) {
    this->metrics.from_platform->Increment();
  }
  boost::asio::post(this->loop,
                    [self = this->shared_from_this(), generation, origin] {
                      self->engine.on_applied(generation, origin, Clock::now());
                      self->execute_commands();
                    });
}

Task<void> RelayService::Impl::run(Self self) {
  while (!self->stopped) {
    self->apply_view();
    const TimePoint now = Clock::now();
    self->engine.tick(now);
    self->age_ms = to_millis(self->engine.age(now));
    self->execute_commands();
    if (!self->polling && now >= self->next_poll &&
        self->aggregator.recently_read(now)) {
      self->polling = true;
      boost::asio::co_spawn(self->loop, poll_zones(self),
                            boost::asio::detached);
    }
    self->tick_timer.expires_after(self->settings.tick);
    const auto [cancelled] = co_await self->tick_timer.async_wait(kAwait);
    static_cast<void>(cancelled);
  }
}

void RelayService::Impl::apply_view() {
  const auto members = this->view.read();
  if (members->revision == this->seen_revision) {
    return;
  }
  this->seen_revision = members->revision;
  this->engine.on_view(*members, Clock::now());
  this->rank = this->engine.tree().fleet_rank();
  this->aggregator.retain(this->engine.tree().roots());
  this->watch->set_active(this->engine.tree().watches());
}

void RelayService::Impl::execute_commands() {
  RelayCommands commands = this->engine.take_commands();
  const auto self = this->shared_from_this();
  if (!commands.pushes.empty()) {
    this->push(commands.pushes);
  }
  if (commands.fetch) {
    boost::asio::co_spawn(this->loop, fetch(self, std::move(*commands.fetch)),
                          boost::asio::detached);
  }
  if (commands.read_platform) {
    boost::asio::co_spawn(this->loop, read_platform(self),
                          boost::asio::detached);
  }
  if (commands.report_to) {
    boost::asio::co_spawn(this->loop,
                          send_report(self, std::move(*commands.report_to)),
                          boost::asio::detached);
  }
}

void RelayService::Impl::push(const std::vector<std::string>& peers) {
  PushMessage message;
  message.generation = this->releases.generation();
  message.age = this->engine.age(Clock::now());
  message.head = this->releases.head();
  if (message.head.size() > kMaxPushedHeadBytes) {
    message.head.clear();
  }
  const std::string payload = encode(message);
  for (const std::string& peer : peers) {
    this->network.notify(peer, MessageKind::kReleasePush, payload);
    this->metrics.pushes->Increment();
  }
}

Task<void> RelayService::Impl::handle_push(Self self,
                                           std::string peer,
                                           PushMessage push) {
  // A push that contains the head saves a round trip: only missing chunks, if
  // any, must be fetched.
  if (!push.head.empty() && push.generation > self->releases.generation()) {
    std::string source = peer;
    const auto taken = co_await self->fetcher.apply_from_peer(
        std::move(source), std::move(push.head));
    if (!taken) {
      self->record_failure(taken.error(), "push");
    }
  }
  if (!self->stopped) {
    // The store may be ahead of the engine, because `on_applied()` posts the
    // notification. Generation 0 then keeps the engine from fetching.
    const Generation beyond =
        push.generation > self->releases.generation() ? push.generation : 0;
    self->engine.on_push(peer, beyond, push.age, Clock::now());
    self->execute_commands();
  }
}

Task<void> RelayService::Impl::fetch(Self self, std::string peer) {
  self->metrics.fetches->Increment();
  const auto age = co_await self->fetcher.fetch_from_peer(std::move(peer));
  if (!age && age.error().kind != ErrorKind::kPeerUnavailable) {
    self->record_failure(age.error(), "peer");
  }
  if (!self->stopped) {
    self->engine.on_fetched(age ? std::optional<Duration>(*age) : std::nullopt,
                            Clock::now());
    self->execute_commands();
  }
}

Task<void> RelayService::Impl::read_platform(Self self) {
  self->metrics.self_help_reads->Increment();
  const auto version = co_await self->fetcher.fetch_from_platform();
  if (self->stopped) {
    co_return;
  }
  if (version) {
    self->engine.on_platform_answered(Clock::now());
  } else {
    self->record_failure(version.error(), "platform");
  }
  self->engine.on_platform_read_done();
}

void RelayService::Impl::on_watch_result(const Result<void>& result) {
  if (result) {
    this->engine.on_platform_answered(Clock::now());
  } else {
    this->record_failure(result.error(), "watch");
  }
}

Task<void> RelayService::Impl::send_report(Self self, std::string parent) {
  const InForceReport report{false, self->engine.subtree_tallies()};
  const TimePoint deadline = Clock::now() + self->settings.request_timeout;
  std::string payload = encode(report);
  const auto answer = co_await self->network.request(
      std::move(parent), MessageKind::kInForce, std::move(payload), deadline);
  static_cast<void>(answer);  // Reports are repeated.
}

Task<void> RelayService::Impl::poll_zones(Self self) {
  const std::vector<std::string> roots = self->engine.tree().roots();
  const TimePoint deadline = Clock::now() + self->settings.request_timeout;
  for (const std::string& root : roots) {
    if (root == self->network.self().member) {
      self->aggregator.put(root, self->engine.subtree_tallies());
      continue;
    }
    std::string target = root;
    std::string payload = encode(InForceReport{true, {}});
    const auto response = co_await self->network.request(
        std::move(target), MessageKind::kInForce, std::move(payload), deadline);
    auto tallies = response ? decode_in_force_answer(*response)
                            : Result<Tallies>(Tallies{});
    self->aggregator.put(root, tallies.value_or(Tallies{}));
  }
  self->polling = false;
  self->next_poll = Clock::now() + self->settings.zone_poll_interval;
}

Task<Result<std::string>> RelayService::Impl::handle_report(
    Self self,
    Incarnation from,
    std::string payload) {
  auto report = decode_report(payload);
  if (!report) {
    co_return tl::unexpected<Error>(report.error());
  }
  if (report->question) {
    co_return encode_in_force_answer(self->engine.subtree_tallies());
  }
  self->engine.on_report(from.member, std::move(report->tallies), Clock::now());
  co_return std::string();
}

Task<Result<std::string>> RelayService::Impl::answer_fetch(
    Self self,
    std::string payload) {
  if (!self) {
    co_return fail(ErrorKind::kNotReady, "no releases here");
  }
  const auto request = decode_fetch_request(payload);
  if (!request) {
    co_return tl::unexpected<Error>(request.error());
  }
  const std::chrono::milliseconds age(self->age_ms.load());
  co_return encode(self->fetcher.answer(*request, age));
}

Task<Result<std::string>> RelayService::Impl::run_on_loop(
    Self self,
    Task<Result<std::string>> work) {
  if (!self) {
    co_return fail(ErrorKind::kNotReady, "no releases here");
  }
  Result<std::string> result = co_await boost::asio::co_spawn(
      self->loop, std::move(work), boost::asio::use_awaitable);
  co_return result;
}

void RelayService::Impl::record_failure(const Error& error,
                                        const char* source) {
  this->metrics.rejected->Increment();
  LOG_EVERY_N(WARNING, 20) << "event=release_not_taken source=" << source
                           << " error=\"" << to_string(error) << "\"";
}

InForceCount RelayService::Impl::in_force(Generation generation) const {
  const Tallies fleet = this->aggregator.read(Clock::now());
  InForceCount count;
  count.members = this->view.read()->serving();
  const std::size_t here = this->releases.generation() >= generation ? 1 : 0;
  count.reached =
      std::min(count.members, std::max(here, fleet.reached(generation)));
  return count;
}

boost::json::value RelayService::Impl::status() const {
  boost::json::object out;
  out["generation"] = this->releases.generation();
  out["watches_platform"] = this->watch->active();
  out["platform_age_ms"] = this->age_ms.load();
  out["rank"] = this->rank.load();
  boost::json::object reached;
  const Tallies fleet = this->aggregator.read(Clock::now());
  for (const auto& [generation, members] : fleet.counts()) {
    reached[std::to_string(generation)] = members;
  }
  out["members_by_generation"] = std::move(reached);
  return out;
}

}  // namespace ibismux::relay
