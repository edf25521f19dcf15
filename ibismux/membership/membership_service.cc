#include "ibismux/membership/membership_service.h"

#include <glog/logging.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>
#include <random>
#include <utility>

#include "ibismux/base/io_pool.h"
#include "ibismux/membership/membership_engine.h"
#include "ibismux/membership/membership_metrics.h"
#include "ibismux/peer/peer_endpoint.h"
#include "ibismux/peer/peer_network.h"
#include "ibismux/platform/object_store.h"

namespace ibismux::membership {

namespace {

using peer::MessageKind;

constexpr auto kAwait = boost::asio::as_tuple(boost::asio::use_awaitable);
constexpr std::chrono::seconds kHostListTimeout{5};

std::uint64_t wall_seconds() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::seconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

std::vector<Contact> contacts_of(
    const std::vector<platform::HostEntry>& hosts) {
  std::vector<Contact> contacts;
  for (const platform::HostEntry& host : hosts) {
    const auto endpoint = peer::parse_endpoint(host.peer_address);
    if (endpoint) {
      contacts.push_back({host.name, endpoint->address, endpoint->port});
    }
  }
  return contacts;
}

}  // namespace

/// All state belongs to the pool's first loop.
class MembershipService::Impl
    : public std::enable_shared_from_this<MembershipService::Impl> {
 public:
  Impl(MembershipSettings settings,
       IoPool& pool,
       peer::PeerNetwork& network,
       platform::ObjectStore& platform,
       RcuCell<MembershipView>& view,
       prometheus::Registry& registry,
       ContactSink sink)
      : settings(settings),
        loop(pool.at(0)),
        network(network),
        platform(platform),
        view(view),
        metrics(registry),
        sink(std::move(sink)),
        tick_timer(loop),
        list_timer(loop) {}

  [[nodiscard]] const Incarnation& identity() const noexcept {
    return this->network.self();
  }
  void register_handlers();
  void start(Member self);
  void announce_leaving();
  void stop();

  std::vector<Contact> static_contacts;
  std::vector<ViewListener> listeners;

 private:
  using Self = std::shared_ptr<Impl>;

  static Task<void> run(Self self);
  static Task<void> read_host_list(Self self);
  static Task<void> send_probe(Self self, Commands::Probe probe);
  static Task<void> send_indirect(Self self, Commands::Indirect indirect);
  /// Runs `work` on the loop of `self` and gives its result to the caller's.
  static Task<Result<std::string>> serve_on_loop(
      Self self,
      Task<Result<std::string>> work);
  static Task<Result<std::string>> answer_probe(Self self,
                                                Incarnation from,
                                                std::string payload);
  static Task<Result<std::string>> answer_indirect(Self self,
                                                   std::string payload);
  Task<std::optional<ProbeAnswer>> exchange(std::string target,
                                            ProbeMessage message);
  void take_contacts(const std::vector<platform::HostEntry>& hosts);
  void carry_out();
  void publish();
  /// Runs `action` on the loop if the service has started and not stopped.
  template <class Action>
  void on_loop(Action action);

  const MembershipSettings settings;
  boost::asio::io_context& loop;
  peer::PeerNetwork& network;
  platform::ObjectStore& platform;
  RcuCell<MembershipView>& view;
  MembershipMetrics metrics;
  ContactSink sink;
  boost::asio::steady_timer tick_timer;
  boost::asio::steady_timer list_timer;
  std::optional<MembershipEngine> engine;
  std::uint64_t published = 0;
  bool stopped = false;
};

template <class Action>
void MembershipService::Impl::on_loop(Action action) {
  boost::asio::post(this->loop, [self = this->shared_from_this(),
                                 action = std::move(action)]() mutable {
    if (self->engine && !self->stopped) {
      action(*self->engine);
      self->carry_out();
    }
  });
}

void MembershipService::Impl::register_handlers() {
  const std::weak_ptr<Impl> weak = this->weak_from_this();
  this->network.on_notify(
      MessageKind::kGossip,
      [weak](const Incarnation& from, const std::string& payload) {
        const auto self = weak.lock();
        auto records = decode_gossip(payload);
        if (self && records) {
          self->on_loop([member = from.member, records = std::move(*records)](
                            MembershipEngine& engine) {
            engine.on_gossip(member, records, Clock::now());
          });
        }
      });
  this->network.on_request(
      MessageKind::kProbe,
      [weak](Incarnation from,
             std::string payload) -> Task<Result<std::string>> {
        const auto self = weak.lock();
        return serve_on_loop(
            self, answer_probe(self, std::move(from), std::move(payload)));
      });
  this->network.on_request(
      MessageKind::kIndirectProbe,
      [weak](const Incarnation&,
             std::string payload) -> Task<Result<std::string>> {
        const auto self = weak.lock();
        return serve_on_loop(self, answer_indirect(self, std::move(payload)));
      });
  this->network.on_lost([weak](const Incarnation& who) {
    if (const auto self = weak.lock()) {
      self->on_loop([who](MembershipEngine& engine) {
        engine.on_lost(who, Clock::now());
      });
    }
  });
}

void MembershipService::Impl::start(Member member) {
  boost::asio::post(this->loop, [self = this->shared_from_this(),
                                 member = std::move(member)]() mutable {
    const std::uint64_t seed = std::random_device{}();
    self->engine.emplace(self->settings, std::move(member), wall_seconds(),
                         seed, Clock::now());
    self->take_contacts({});
    self->publish();
    boost::asio::co_spawn(self->loop, run(self), boost::asio::detached);
    boost::asio::co_spawn(self->loop, read_host_list(self),
                          boost::asio::detached);
  });
}

void MembershipService::Impl::announce_leaving() {
  this->on_loop(
      [](MembershipEngine& engine) { engine.announce_leaving(Clock::now()); });
}

void MembershipService::Impl::stop() {
  boost::asio::post(this->loop, [self = this->shared_from_this()] {
    self->stopped = true;
    self->tick_timer.cancel();
    self->list_timer.cancel();
  });
}

Task<void> MembershipService::Impl::run(Self self) {
  while (!self->stopped) {
    self->engine->tick(Clock::now());
    self->carry_out();
    self->tick_timer.expires_after(self->settings.tick);
    const auto [cancelled] = co_await self->tick_timer.async_wait(kAwait);
    static_cast<void>(cancelled);
  }
}

Task<void> MembershipService::Impl::read_host_list(Self self) {
  std::minstd_rand random(std::random_device{}());
  std::uniform_real_distribution<double> jitter(0.75, 1.25);
  while (!self->stopped) {
    const TimePoint deadline = Clock::now() + kHostListTimeout;
    auto hosts = co_await self->platform.hosts(deadline);
    if (hosts && !self->stopped) {
      self->take_contacts(*hosts);
    }
    const auto pause =
        self->settings.host_list_interval +
        self->settings.host_list_interval_per_member * self->engine->serving();
    self->list_timer.expires_after(
        std::chrono::duration_cast<Duration>(pause * jitter(random)));
    const auto [cancelled] = co_await self->list_timer.async_wait(kAwait);
    static_cast<void>(cancelled);
  }
}

void MembershipService::Impl::take_contacts(
    const std::vector<platform::HostEntry>& hosts) {
  std::vector<Contact> contacts = contacts_of(hosts);
  contacts.insert(contacts.end(), this->static_contacts.begin(),
                  this->static_contacts.end());
  this->sink(contacts);
  this->engine->on_contacts(std::move(contacts));
}

void MembershipService::Impl::carry_out() {
  Commands commands = this->engine->take_commands();
  // The view first: the network finds addresses in it.
  this->publish();
  const auto self = this->shared_from_this();
  for (Commands::Gossip& gossip : commands.gossip) {
    this->network.notify(gossip.to, MessageKind::kGossip,
                         encode_gossip(gossip.records));
  }
  for (Commands::Probe& probe : commands.probes) {
    boost::asio::co_spawn(this->loop, send_probe(self, std::move(probe)),
                          boost::asio::detached);
  }
  for (Commands::Indirect& indirect : commands.indirect) {
    boost::asio::co_spawn(this->loop, send_indirect(self, std::move(indirect)),
                          boost::asio::detached);
  }
}

void MembershipService::Impl::publish() {
  if (this->published == this->engine->revision()) {
    return;
  }
  this->published = this->engine->revision();
  auto fresh = std::make_shared<const MembershipView>(this->engine->view());
  this->view.write(fresh);
  this->metrics.saw(*fresh);
  for (const ViewListener& listener : this->listeners) {
    listener(*fresh);
  }
}

Task<std::optional<ProbeAnswer>> MembershipService::Impl::exchange(
    std::string target,
    ProbeMessage message) {
  const TimePoint deadline = Clock::now() + this->settings.probe_timeout;
  std::string payload = encode(message);
  auto response = co_await this->network.request(
      std::move(target), MessageKind::kProbe, std::move(payload), deadline);
  this->metrics.probed(response.has_value());
  if (!response) {
    co_return std::nullopt;
  }
  auto answer = decode_answer(*response);
  if (!answer) {
    co_return std::nullopt;
  }
  co_return std::move(*answer);
}

Task<void> MembershipService::Impl::send_probe(Self self,
                                               Commands::Probe probe) {
  std::string target = probe.target;
  ProbeMessage message = std::move(probe.message);
  const auto answer = co_await self->exchange(target, std::move(message));
  if (!self->stopped) {
    self->engine->on_probe_result(target, answer, Clock::now());
    self->carry_out();
  }
}

Task<void> MembershipService::Impl::send_indirect(Self self,
                                                  Commands::Indirect indirect) {
  // The helper's own probe must fit in.
  const TimePoint deadline = Clock::now() + 2 * self->settings.probe_timeout;
  std::string payload = encode_indirect_probe(indirect.target);
  std::string helper = indirect.helper;
  const auto response = co_await self->network.request(
      std::move(helper), MessageKind::kIndirectProbe, std::move(payload),
      deadline);
  const auto reached =
      response ? decode_indirect_answer(*response) : Result<bool>(false);
  if (!self->stopped) {
    self->engine->on_indirect_result(indirect.target, reached.value_or(false),
                                     Clock::now());
    self->carry_out();
  }
}

Task<Result<std::string>> MembershipService::Impl::serve_on_loop(
    Self self,
    Task<Result<std::string>> work) {
  if (!self) {
    co_return fail(ErrorKind::kNotReady, "no membership here");
  }
  Result<std::string> result = co_await boost::asio::co_spawn(
      self->loop, std::move(work), boost::asio::use_awaitable);
  co_return result;
}

Task<Result<std::string>> MembershipService::Impl::answer_probe(
    Self self,
    Incarnation from,
    std::string payload) {
  const auto message = decode_probe(payload);
  if (!message) {
    co_return tl::unexpected<Error>(message.error());
  }
  if (!self->engine || self->stopped) {
    co_return fail(ErrorKind::kNotReady, "no membership here");
  }
  const ProbeAnswer answer =
      self->engine->on_probe(from, *message, Clock::now());
  self->carry_out();
  co_return encode(answer);
}

Task<Result<std::string>> MembershipService::Impl::answer_indirect(
    Self self,
    std::string payload) {
  auto target = decode_indirect_probe(payload);
  if (!target) {
    co_return tl::unexpected<Error>(target.error());
  }
  if (!self->engine || self->stopped) {
    co_return fail(ErrorKind::kNotReady, "no membership here");
  }
  ProbeMessage message = self->engine->probe_message(*target);
  const auto answer = co_await self->exchange(*target, std::move(message));
  co_return encode_indirect_answer(answer.has_value());
}

MembershipService::MembershipService(MembershipSettings settings,
                                     IoPool& pool,
                                     peer::PeerNetwork& network,
                                     platform::ObjectStore& platform,
                                     RcuCell<MembershipView>& view,
                                     prometheus::Registry& registry,
                                     ContactSink contact_sink)
    : impl(std::make_shared<Impl>(settings,
                                  pool,
                                  network,
                                  platform,
                                  view,
                                  registry,
                                  std::move(contact_sink))) {
  this->impl->register_handlers();
}

MembershipService::~MembershipService() {
  this->stop();
}

void MembershipService::set_static_contacts(
    const std::vector<std::string>& endpoints) {
  for (const std::string& text : endpoints) {
    if (const auto endpoint = peer::parse_endpoint(text)) {
      this->impl->static_contacts.push_back(
          {text, endpoint->address, endpoint->port});
    } else {
      LOG(WARNING) << "event=bad_contact endpoint=\"" << text << "\"";
    }
  }
}

void MembershipService::on_view(ViewListener listener) {
  this->impl->listeners.push_back(std::move(listener));
}

void MembershipService::start(std::string address,
                              std::uint16_t port,
                              std::string zone) {
  Member self;
  self.name = this->impl->identity().member;
  self.incarnation = this->impl->identity().number;
  self.address = std::move(address);
  self.port = port;
  self.zone = std::move(zone);
  this->impl->start(std::move(self));
}

void MembershipService::announce_leaving() {
  this->impl->announce_leaving();
}

void MembershipService::stop() {
  this->impl->stop();
}

}  // namespace ibismux::membership
