#include "ibismux/membership/membership_service.h"

#include <glog/logging.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <random>
#include <utility>

#include "ibismux/base/unix_time.h"
#include "ibismux/membership/membership_service_impl.h"
#include "ibismux/peer/peer_endpoint.h"
#include "ibismux/peer/peer_network.h"
#include "ibismux/store/object_store.h"

namespace ibismux::membership {

namespace {

using peer::MessageKind;

constexpr auto kAwait = boost::asio::as_tuple(boost::asio::use_awaitable);
constexpr std::chrono::seconds kHostListTimeout{5};

std::uint64_t wall_seconds() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::seconds>(unix_now()).count());
}

std::vector<Contact> contacts_of(const std::vector<store::HostEntry>& hosts) {
  std::vector<Contact> contacts;
  for (const store::HostEntry& host : hosts) {
    const auto endpoint = peer::parse_endpoint(host.peer_address);
    if (endpoint) {
      contacts.push_back(
          {host.name, endpoint->address, endpoint->port, host.fleet});
    }
  }
  return contacts;
}

}  // namespace

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
    self->take_contacts({}, ContactSource::kSettings);
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
    const bool starts = self->engine->is_starting(Clock::now());
    self->tick_timer.expires_after(
        starts ? std::min(self->settings.start_tick, self->settings.tick)
               : self->settings.tick);
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
      self->take_contacts(*hosts, ContactSource::kHostList);
    }
    const std::size_t serving = self->engine->serving();
    const Duration pause =
        serving <= 1 ? Duration(self->settings.host_list_interval_alone)
                     : self->settings.host_list_interval +
                           self->settings.host_list_interval_per_member *
                               static_cast<std::int64_t>(serving);
    self->list_timer.expires_after(
        std::chrono::duration_cast<Duration>(pause * jitter(random)));
    const auto [cancelled] = co_await self->list_timer.async_wait(kAwait);
    static_cast<void>(cancelled);
  }
}

void MembershipService::Impl::take_contacts(
    const std::vector<store::HostEntry>& hosts,
    ContactSource source) {
  std::vector<Contact> contacts = contacts_of(hosts);
  contacts.insert(contacts.end(), this->static_contacts.begin(),
                  this->static_contacts.end());
  this->sink(contacts);
  this->engine->on_contacts(std::move(contacts), source);
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

MembershipService::MembershipService(MembershipSettings settings,
                                     IoPool& pool,
                                     peer::PeerNetwork& network,
                                     store::ObjectStore& platform,
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
  self.link_mbps = this->impl->advertised_link();
  this->impl->start(std::move(self));
}

void MembershipService::announce_leaving() {
  this->impl->announce_leaving();
}

void MembershipService::stop() {
  this->impl->stop();
}

}  // namespace ibismux::membership
