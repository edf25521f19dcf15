#include "sim_fleet.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "apps/bench-control-sim/sim_network.h"
#include "ibismux/relay/messages.h"

namespace ibismux::bench {

namespace {

using namespace std::chrono_literals;
using membership::Member;
using membership::MembershipSettings;

constexpr Duration kPlatformTrip = 5ms;
/// How long the kernel takes to refuse or a dial to time out.
constexpr Duration kRefused = 60ms;

}  // namespace

SimFleet::SimFleet(std::size_t daemons, std::size_t zones, std::uint64_t seed)
    : source(seed), daemons(daemons) {
  for (std::size_t i = 0; i < daemons; ++i) {
    this->daemons[i].name = "host-" + std::to_string(10000 + i);
    this->daemons[i].zone = "zone-" + std::to_string(10 + i % zones);
    this->indices[this->daemons[i].name] = i;
  }
  for (std::size_t i = 0; i < daemons; ++i) {
    this->boot(i);
  }
}

void SimFleet::introduce_all() {
  std::vector<membership::MemberRecord> records;
  for (const Daemon& daemon : this->daemons) {
    records.push_back(daemon.members->members().self());
  }
  for (Daemon& daemon : this->daemons) {
    daemon.members->on_gossip(daemon.name, records, this->clock);
  }
}

void SimFleet::boot(std::size_t index) {
  Daemon& daemon = this->daemons[index];
  daemon.run = ++this->runs;
  Member self;
  self.name = daemon.name;
  self.incarnation = this->source();
  self.address = "10.20." + std::to_string(index / 250) + "." +
                 std::to_string(index % 250);
  self.port = 8081;
  self.zone = daemon.zone;
  daemon.members = std::make_unique<membership::MembershipEngine>(
      MembershipSettings{}, self, 1'700'000'000 + daemon.run, this->source(),
      this->clock);
  daemon.relay = std::make_unique<relay::RelayEngine>(
      relay::RelaySettings{}, this->source(), this->clock);
  daemon.seen = 0;
  daemon.generation = 0;
  daemon.connected.clear();
  // The host list, as the platform gives it at the start.
  std::vector<membership::Contact> contacts;
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    contacts.push_back({this->daemons[i].name, "", 0});
  }
  daemon.members->on_contacts(std::move(contacts));
  ++this->counted.platform_reads;
  const auto start = std::chrono::microseconds(this->random(100'000));
  this->later(start,
              [this, index, run = daemon.run] { this->tick(index, run); });
}

void SimFleet::run(std::chrono::milliseconds time) {
  const TimePoint end = this->clock + time;
  while (!this->events.empty() && this->events.top().when <= end) {
    const Event event = this->events.top();
    this->events.pop();
    this->clock = event.when;
    event.action();
  }
  this->clock = end;
}

void SimFleet::tick(std::size_t index, std::uint64_t run) {
  Daemon& daemon = this->daemons[index];
  if (daemon.run != run) {
    return;
  }
  daemon.members->tick(this->clock);
  if (daemon.seen != daemon.members->revision()) {
    daemon.seen = daemon.members->revision();
    daemon.relay->on_view(daemon.members->view(), this->clock);
  }
  daemon.relay->tick(this->clock);
  this->carry_out(index);
  this->later(MembershipSettings{}.tick,
              [this, index, run] { this->tick(index, run); });
}

void SimFleet::carry_out(std::size_t index) {
  Daemon& daemon = this->daemons[index];
  if (daemon.run == 0) {
    return;
  }
  this->carry_out_membership(index);
  this->carry_out_relay(index);
}

void SimFleet::carry_out_membership(std::size_t index) {
  const membership::Commands commands =
      this->daemons[index].members->take_commands();
  for (const auto& gossip : commands.gossip) {
    const std::size_t to = this->index_of(gossip.to);
    this->send(
        index, to, membership::encode_gossip(gossip.records).size(),
        this->counted.membership_bytes,
        [this, to, from = this->daemons[index].name, records = gossip.records] {
          this->daemons[to].members->on_gossip(from, records, this->clock);
          this->carry_out(to);
        });
  }
  for (const auto& command : commands.probes) {
    this->probe(index, command);
  }
  for (const auto& indirect : commands.indirect) {
    // Asks, probes and answers as one step.
    const std::size_t helper = this->index_of(indirect.helper);
    const bool reached =
        this->daemons[helper].run != 0 &&
        this->daemons[this->index_of(indirect.target)].run != 0;
    this->counted.membership_bytes += 4 * (kOverhead + 20);
    const Duration wait = reached ? 4 * kAcross : Duration(400ms);
    this->later(wait, [this, index, reached, target = indirect.target,
                       run = this->daemons[index].run] {
      if (this->daemons[index].run == run) {
        this->daemons[index].members->on_indirect_result(target, reached,
                                                         this->clock);
        this->carry_out(index);
      }
    });
  }
}

void SimFleet::probe(std::size_t from,
                     const membership::Commands::Probe& command) {
  const std::size_t to = this->index_of(command.target);
  const std::uint64_t run = this->daemons[from].run;
  const auto finish =
      [this, from, run, target = command.target](
          const std::optional<membership::ProbeAnswer>& answer) {
        if (this->daemons[from].run == run) {
          this->daemons[from].members->on_probe_result(target, answer,
                                                       this->clock);
          this->carry_out(from);
        }
      };
  if (this->daemons[to].run == 0) {
    this->later(kRefused, [finish] { finish(std::nullopt); });
    return;
  }
  this->send(from, to, membership::encode(command.message).size(),
             this->counted.membership_bytes,
             [this, from, to, finish, message = command.message,
              who = this->identity(from)] {
               const auto answer = this->daemons[to].members->on_probe(
                   who, message, this->clock);
               this->send(to, from, membership::encode(answer).size(),
                          this->counted.membership_bytes,
                          [finish, answer] { finish(answer); });
               this->carry_out(to);
             });
}

void SimFleet::carry_out_relay(std::size_t index) {
  const relay::RelayCommands commands =
      this->daemons[index].relay->take_commands();
  const Generation generation = this->daemons[index].generation;
  for (const std::string& peer : commands.pushes) {
    const std::size_t to = this->index_of(peer);
    const Duration age = this->daemons[index].relay->age(this->clock);
    this->send(index, to,
               relay::encode(relay::PushMessage{generation, "", age}).size(),
               this->counted.relay_bytes,
               [this, to, age, generation, from = this->daemons[index].name] {
                 this->daemons[to].relay->on_push(from, generation, age,
                                                  this->clock);
                 this->carry_out(to);
               });
  }
  if (commands.fetch) {
    this->fetch(index, *commands.fetch);
  }
  if (commands.read_platform) {
    ++this->counted.platform_reads;
    this->later(kPlatformTrip, [this, index, run = this->daemons[index].run] {
      if (this->daemons[index].run == run) {
        this->daemons[index].relay->on_platform_read_done();
        this->daemons[index].relay->on_platform_answered(this->clock);
        this->apply(index, this->newest, relay::Origin::kPlatform);
      }
    });
  }
  if (commands.report_to) {
    const std::size_t to = this->index_of(*commands.report_to);
    const relay::InForceReport report{
        false, this->daemons[index].relay->subtree_tallies()};
    this->send(index, to, relay::encode(report).size() + kOverhead,
               this->counted.relay_bytes,
               [this, to, report, from = this->daemons[index].name] {
                 this->daemons[to].relay->on_report(from, report.tallies,
                                                    this->clock);
               });
  }
  if (this->daemons[index].relay->tree().watches()) {
    // A healthy watch, without its own traffic.
    this->daemons[index].relay->on_platform_answered(this->clock);
  }
}

void SimFleet::fetch(std::size_t from, const std::string& peer) {
  const std::size_t to = this->index_of(peer);
  const std::uint64_t run = this->daemons[from].run;
  const auto failed = [this, from, run] {
    if (this->daemons[from].run == run) {
      this->daemons[from].relay->on_fetched(std::nullopt, this->clock);
      this->carry_out(from);
    }
  };
  if (this->daemons[to].run == 0) {
    this->later(kRefused, failed);
    return;
  }
  const Generation have = this->daemons[from].generation;
  const std::size_t request =
      relay::encode(relay::FetchRequest{have, {}}).size();
  this->send(
      from, to, request, this->counted.relay_bytes, [this, from, to, have] {
        const Generation theirs = this->daemons[to].generation;
        const Duration age = this->daemons[to].relay->age(this->clock);
        std::size_t answer =
            relay::encode(relay::FetchAnswer{theirs, "", {}, age}).size();
        // The chunks come with the head. A daemon with nothing takes every
        // chunk; that is not control traffic of a change, and is left out.
        if (theirs > have && have != 0) {
          this->counted.release_bytes += this->head_bytes + this->chunk_bytes;
        }
        this->send(to, from, answer, this->counted.relay_bytes,
                   [this, from, theirs, age, run = this->daemons[from].run] {
                     if (this->daemons[from].run == run) {
                       this->apply(from, theirs, relay::Origin::kPeer);
                       this->daemons[from].relay->on_fetched(age, this->clock);
                       this->carry_out(from);
                     }
                   });
      });
}

void SimFleet::apply(std::size_t index,
                     Generation generation,
                     relay::Origin origin) {
  Daemon& daemon = this->daemons[index];
  if (generation > daemon.generation) {
    daemon.generation = generation;
    daemon.relay->on_applied(generation, origin, this->clock);
  }
  this->carry_out(index);
}

void SimFleet::kill(std::size_t index, bool reset) {
  const Incarnation who = this->identity(index);
  Daemon& dead = this->daemons[index];
  dead.run = 0;
  for (std::size_t i = 0; reset && i < this->daemons.size(); ++i) {
    Daemon& peer = this->daemons[i];
    if (peer.run != 0 &&
        (peer.connected.contains(index) || dead.connected.contains(i))) {
      this->later(this->trip(index, i), [this, i, who, run = peer.run] {
        if (this->daemons[i].run == run) {
          this->daemons[i].members->on_lost(who, this->clock);
          this->carry_out(i);
        }
      });
    }
  }
}

void SimFleet::restart(std::size_t index) {
  this->boot(index);
}

void SimFleet::leave(std::size_t index) {
  this->daemons[index].members->announce_leaving(this->clock);
  this->carry_out(index);
}

void SimFleet::publish(std::size_t index) {
  ++this->newest;
  this->apply(index, this->newest, relay::Origin::kPublishedHere);
}

bool SimFleet::all_see(std::size_t index, Member::State state) const {
  return std::all_of(
      this->daemons.begin(), this->daemons.end(), [&](const Daemon& daemon) {
        if (daemon.run == 0 || &daemon == &this->daemons[index]) {
          return true;
        }
        const auto* row =
            daemon.members->members().find(this->daemons[index].name);
        return row != nullptr && row->record.member.state == state;
      });
}

bool SimFleet::agreed() const {
  std::uint64_t digest = 0;
  const std::size_t running = this->running();
  for (const Daemon& daemon : this->daemons) {
    if (daemon.run != 0) {
      const std::uint64_t theirs = daemon.members->members().digest();
      if ((digest != 0 && digest != theirs) ||
          daemon.members->serving() != running) {
        return false;
      }
      digest = theirs;
    }
  }
  return true;
}

bool SimFleet::all_have(Generation generation) const {
  return std::all_of(this->daemons.begin(), this->daemons.end(),
                     [generation](const Daemon& daemon) {
                       return daemon.run == 0 ||
                              daemon.generation >= generation;
                     });
}

std::size_t SimFleet::running() const {
  return static_cast<std::size_t>(
      std::count_if(this->daemons.begin(), this->daemons.end(),
                    [](const Daemon& daemon) { return daemon.run != 0; }));
}

Incarnation SimFleet::identity(std::size_t index) const {
  const Member& self = this->daemons[index].members->members().self().member;
  return {self.name, self.incarnation};
}

std::size_t SimFleet::index_of(const std::string& name) const {
  return this->indices.at(name);
}

}  // namespace ibismux::bench
