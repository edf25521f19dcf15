#include "ibismux/relay/relay_engine.h"

#include <algorithm>
#include <random>
#include <utility>

namespace ibismux::relay {

namespace {

/// Generations are compared along the links of the membership overlay, whose
/// connections are open already.
constexpr std::size_t kRings = 2;
/// An interval is multiplied by a random factor between kMinJitterFactor and
/// kMinJitterFactor + kJitterRange.
constexpr double kMinJitterFactor = 0.75;
constexpr double kJitterRange = 0.5;

}  // namespace

RelayEngine::RelayEngine(RelaySettings settings,
                         std::uint64_t seed,
                         TimePoint now)
    : settings(settings),
      random(seed),
      spread_tree(settings.watchers, settings.fan_out),
      overlay(kRings),
      cold_start_fraction(this->random_fraction()),
      started_at(now),
      confirmed_at(now),
      next_compare(now),
      next_read(now),
      next_report(now) {}

void RelayEngine::tick(TimePoint now) {
  if (now >= this->next_compare) {
    this->compare_generations(now);
  }
  this->read_platform_if_stale(now);
  this->report_to_parent(now);
}

void RelayEngine::on_view(const membership::MembershipView& view,
                          TimePoint now) {
  this->spread_tree.rebuild(view);
  std::vector<std::string> names;
  for (const membership::Member& member : view.members) {
    if (member.serves()) {
      names.push_back(member.name);
    }
  }
  this->overlay.rebuild(view.self, names);
  this->fleet_size = view.serving();
  const auto& children = this->spread_tree.children();
  std::erase_if(this->reports, [&children](const auto& entry) {
    return std::find(children.begin(), children.end(), entry.first) ==
           children.end();
  });
  if (this->current == 0) {
    this->next_compare = now;  // A new peer may have a release.
  }
}

void RelayEngine::on_applied(Generation generation,
                             Origin origin,
                             TimePoint now) {
  if (generation <= this->current) {
    return;
  }
  this->current = generation;
  if (origin != Origin::kPeer) {
    this->confirmed_at = now;
  }
  // The watchers of other zones also get the release from the platform, but
  // later than from the daemon that has just published it.
  auto& pushes = this->commands.pushes;
  pushes.clear();
  if (origin == Origin::kPublishedHere) {
    pushes = this->spread_tree.entries();
  }
  for (const std::string& child : this->spread_tree.children()) {
    if (std::find(pushes.begin(), pushes.end(), child) == pushes.end()) {
      pushes.push_back(child);
    }
  }
}

void RelayEngine::on_push(const std::string& from,
                          Generation generation,
                          Duration age,
                          TimePoint now) {
  this->record_age(age, now);
  if (generation <= this->current) {
    return;
  }
  if (!this->fetching) {
    this->start_fetch(from);
  } else if (generation > this->pending_generation) {
    this->pending_generation = generation;
    this->pending_peer = from;
  }
}

void RelayEngine::on_fetched(std::optional<Duration> age, TimePoint now) {
  this->fetching = false;
  if (age) {
    this->record_age(*age, now);
  }
  if (this->pending_generation > this->current) {
    this->pending_generation = 0;
    this->start_fetch(std::exchange(this->pending_peer, ""));
  }
}

void RelayEngine::on_platform_answered(TimePoint now) {
  this->confirmed_at = now;
}

void RelayEngine::on_report(const std::string& child,
                            Tallies tallies,
                            TimePoint now) {
  this->reports[child] = Report{std::move(tallies), now};
}

RelayCommands RelayEngine::take_commands() {
  return std::exchange(this->commands, {});
}

Tallies RelayEngine::subtree_tallies() const {
  Tallies sum;
  sum.add(this->current, 1);
  for (const auto& [child, entry] : this->reports) {
    sum.add(entry.tallies);
  }
  return sum;
}

void RelayEngine::record_age(Duration age, TimePoint now) {
  // An age instead of a time avoids any dependence on the peer's clock.
  this->confirmed_at =
      std::max(this->confirmed_at, now - std::max(age, Duration::zero()));
}

void RelayEngine::start_fetch(const std::string& from) {
  this->fetching = true;
  this->commands.fetch = from;
}

/// Compares generations alternately with the parent and with overlay neighbors
/// in any zone. The parent has the release if only its push was lost; neighbors
/// in other zones have it if a whole zone missed the push.
void RelayEngine::compare_generations(TimePoint now) {
  const bool no_release = this->current == 0;
  this->next_compare =
      now + this->jittered(no_release ? this->settings.initial_compare_interval
                                      : this->settings.compare_interval);
  const auto& peers = this->overlay.neighbours();
  if (this->fetching || peers.empty()) {
    return;
  }
  ++this->comparison_count;
  const auto& parent = this->spread_tree.parent();
  if (parent && this->comparison_count % 2 == 0) {
    this->start_fetch(*parent);
  } else {
    this->start_fetch(peers[(this->comparison_count / 2) % peers.size()]);
  }
}

void RelayEngine::read_platform_if_stale(TimePoint now) {
  Duration delay = this->settings.max_platform_age;
  if (this->current == 0) {
    // In a cold start of the whole fleet the watchers read first. The other
    // daemons spread their reads; otherwise all would read in the same second
    // and the platform would refuse most of them.
    delay = this->settings.watcher_first_read_delay;
    if (!this->spread_tree.watches()) {
      const Duration spread =
          this->settings.first_read_spread_per_member * this->fleet_size;
      delay = this->settings.other_first_read_delay +
              std::chrono::duration_cast<Duration>(spread *
                                                   this->cold_start_fraction);
    }
  }
  const TimePoint since =
      this->current == 0 ? this->started_at : this->confirmed_at;
  if (this->reading || now - since < delay || now < this->next_read) {
    return;
  }
  this->reading = true;
  this->next_read = now + this->jittered(this->settings.min_read_interval);
  this->commands.read_platform = true;
}

void RelayEngine::report_to_parent(TimePoint now) {
  std::erase_if(this->reports, [this, now](const auto& entry) {
    return now - entry.second.received_at > this->settings.report_expiry;
  });
  const auto& parent = this->spread_tree.parent();
  if (!parent) {
    return;
  }
  Tallies current_tallies = this->subtree_tallies();
  if (current_tallies == this->last_report && parent == this->last_parent &&
      now < this->next_report) {
    return;
  }
  this->last_report = std::move(current_tallies);
  this->last_parent = parent;
  this->next_report = now + this->jittered(this->settings.report_interval);
  this->commands.report_to = parent;
}

Duration RelayEngine::jittered(Duration interval) {
  return std::chrono::duration_cast<Duration>(
      interval * (kMinJitterFactor + kJitterRange * this->random_fraction()));
}

double RelayEngine::random_fraction() {
  return std::uniform_real_distribution<double>(0.0, 1.0)(this->random);
}

}  // namespace ibismux::relay
