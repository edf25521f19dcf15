#ifndef TESTS_MEMBERSHIP_ENGINE_FLEET_H_
#define TESTS_MEMBERSHIP_ENGINE_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "ibismux/membership/membership_engine.h"

namespace ibismux::membership {

/// Several engines in virtual time: messages arrive at once, failed probes time
/// out, and members can be cut off, frozen, killed and restarted.
class EngineFleet {
 public:
  explicit EngineFleet(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      this->start(name(i));
    }
    // Each knows the first; that is enough to find all.
    for (const std::string& member : this->names()) {
      this->engine(member).on_contacts({{name(0), "127.0.0.1", 1}});
    }
  }

  static std::string name(std::size_t i) {
    return "d" + std::to_string(100 + i);
  }

  /// Starts a run of `member`, or replaces the one before.
  void start(const std::string& member) {
    ++this->runs;
    Member self;
    self.name = member;
    self.incarnation = 1000 + this->runs;
    self.address = "127.0.0.1";
    self.port = static_cast<std::uint16_t>(this->runs);
    self.zone = "z1";
    this->nodes[member] = std::make_unique<MembershipEngine>(
        MembershipSettings{}, self, 5000 + this->runs, this->runs, this->now);
  }

  /// The process ends; all that were connected notice a reset.
  void kill(const std::string& member) {
    const Incarnation who = this->incarnation(member);
    this->nodes.erase(member);
    for (const auto& [name, node] : this->nodes) {
      if (!this->frozen.contains(name)) {
        node->on_lost(who, this->now);
      }
    }
    this->deliver();
  }

  void freeze(const std::string& member) { this->frozen.insert(member); }
  void thaw(const std::string& member) { this->frozen.erase(member); }
  /// Members on different sides can't reach each other.
  void split(std::set<std::string> side) { this->side = std::move(side); }

  void run(std::chrono::milliseconds time) {
    const TimePoint end = this->now + time;
    while (this->now < end) {
      this->now += MembershipSettings{}.tick;
      this->finish_timeouts();
      for (const std::string& member : this->names()) {
        if (!this->frozen.contains(member)) {
          this->engine(member).tick(this->now);
          this->deliver();
        }
      }
    }
  }

  [[nodiscard]] MembershipEngine& engine(const std::string& member) {
    return *this->nodes.at(member);
  }
  [[nodiscard]] Incarnation incarnation(const std::string& member) {
    return {member, this->engine(member).members().self().member.incarnation};
  }
  [[nodiscard]] std::vector<std::string> names() const {
    std::vector<std::string> all;
    for (const auto& [name, node] : this->nodes) {
      all.push_back(name);
    }
    return all;
  }
  /// How many of the running daemons see `member` in `state`.
  [[nodiscard]] std::size_t seen(const std::string& member,
                                 Member::State state) {
    std::size_t count = 0;
    for (const auto& [name, node] : this->nodes) {
      const auto* row = node->members().find(member);
      count += row != nullptr && row->record.member.state == state ? 1 : 0;
    }
    return count;
  }
  /// Whether every daemon sees every daemon alive, in its current run.
  [[nodiscard]] bool agreed() {
    for (const auto& [name, node] : this->nodes) {
      for (const auto& [other, peer] : this->nodes) {
        const auto* row = node->members().find(other);
        if (row == nullptr ||
            row->record.member.state != Member::State::kAlive ||
            row->record.epoch != peer->members().self().epoch) {
          return false;
        }
      }
    }
    return true;
  }

  TimePoint now{std::chrono::hours(1)};

 private:
  struct Timeout {
    TimePoint when;
    std::function<void()> fire;
  };

  bool reaches(const std::string& from, const std::string& to) const {
    return this->nodes.contains(to) && !this->frozen.contains(to) &&
           this->side.contains(from) == this->side.contains(to);
  }

  void deliver() {
    for (bool any = true; any;) {
      any = false;
      for (const std::string& member : this->names()) {
        Commands commands = this->engine(member).take_commands();
        any = any || !commands.probes.empty() || !commands.gossip.empty() ||
              !commands.indirect.empty();
        this->carry_out(member, commands);
      }
    }
  }

  void carry_out(const std::string& from, const Commands& commands) {
    for (const auto& gossip : commands.gossip) {
      if (this->reaches(from, gossip.to)) {
        this->engine(gossip.to).on_gossip(from, gossip.records, this->now);
      }
    }
    for (const auto& probe : commands.probes) {
      if (this->reaches(from, probe.target)) {
        const ProbeAnswer answer =
            this->engine(probe.target)
                .on_probe(this->incarnation(from), probe.message, this->now);
        this->engine(from).on_probe_result(probe.target, answer, this->now);
      } else {
        this->later(from, [this, from, target = probe.target] {
          this->engine(from).on_probe_result(target, std::nullopt, this->now);
        });
      }
    }
    for (const auto& indirect : commands.indirect) {
      const bool reached = this->reaches(from, indirect.helper) &&
                           this->reaches(indirect.helper, indirect.target);
      this->later(from, [this, from, reached, target = indirect.target] {
        this->engine(from).on_indirect_result(target, reached, this->now);
      });
    }
  }

  void later(const std::string& owner, std::function<void()> fire) {
    this->timeouts.push_back({this->now + MembershipSettings{}.probe_timeout,
                              [this, owner, fire = std::move(fire)] {
                                if (this->nodes.contains(owner) &&
                                    !this->frozen.contains(owner)) {
                                  fire();
                                }
                              }});
  }

  void finish_timeouts() {
    std::vector<Timeout> due;
    std::vector<Timeout> rest;
    for (Timeout& timeout : this->timeouts) {
      (timeout.when <= this->now ? due : rest).push_back(std::move(timeout));
    }
    this->timeouts = std::move(rest);
    for (const Timeout& timeout : due) {
      timeout.fire();
      this->deliver();
    }
  }

  std::map<std::string, std::unique_ptr<MembershipEngine>> nodes;
  std::set<std::string> frozen;
  std::set<std::string> side;
  std::vector<Timeout> timeouts;
  std::uint64_t runs = 0;
};

}  // namespace ibismux::membership

#endif  // TESTS_MEMBERSHIP_ENGINE_FLEET_H_
