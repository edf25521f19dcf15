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
constexpr double kLeastJitter = 0.75;
constexpr double kJitterSpan = 0.5;

}  // namespace

RelayEngine::RelayEngine(RelaySettings settings,
                         std::uint64_t seed,
                         TimePoint now)
    : settings(settings),
      random(seed),
      place(settings.watchers, settings.fan_out),
      overlay(kRings),
      start_share(this->draw()),
      started(now),
      confirmed(now),
      next_compare(now),
      next_read(now),
      next_report(now) {}

void RelayEngine::tick(TimePoint now) {
  if (now >= this->next_compare) {
    this->compare(now);
  }
  this->help_self(now);
  this->report(now);
}

void RelayEngine::on_view(const membership::MembershipView& view,
                          TimePoint now) {
  this->place.rebuild(view);
  std::vector<std::string> names;
  for (const membership::Member& member : view.members) {
    if (member.serves()) {
      names.push_back(member.name);
    }
  }
  this->overlay.rebuild(view.self, names);
  this->fleet = view.serving();
  const auto& children = this->place.children();
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
    this->confirmed = now;
  }
  // The watchers of other zones also get the release from the platform, but
  // later than from the daemon that has just published it.
  auto& pushes = this->commands.pushes;
  pushes.clear();
  if (origin == Origin::kPublishedHere) {
    pushes = this->place.entries();
  }
  for (const std::string& child : this->place.children()) {
    if (std::find(pushes.begin(), pushes.end(), child) == pushes.end()) {
      pushes.push_back(child);
    }
  }
}

void RelayEngine::on_push(const std::string& from,
                          Generation generation,
                          Duration age,
                          TimePoint now) {
  this->note_age(age, now);
  if (generation <= this->current) {
    return;
  }
  if (!this->fetching) {
    this->start_fetch(from);
  } else if (generation > this->offered) {
    this->offered = generation;
    this->offered_by = from;
  }
}

void RelayEngine::on_fetched(std::optional<Duration> age, TimePoint now) {
  this->fetching = false;
  if (age) {
    this->note_age(*age, now);
  }
  if (this->offered > this->current) {
    this->offered = 0;
    this->start_fetch(std::exchange(this->offered_by, ""));
  }
}

void RelayEngine::on_platform_seen(TimePoint now) {
  this->confirmed = now;
}

void RelayEngine::on_report(const std::string& child,
                            Tallies tallies,
                            TimePoint now) {
  this->reports[child] = Report{std::move(tallies), now};
}

RelayCommands RelayEngine::take_commands() {
  return std::exchange(this->commands, {});
}

Tallies RelayEngine::subtree() const {
  Tallies sum;
  sum.add(this->current, 1);
  for (const auto& [child, entry] : this->reports) {
    sum.add(entry.tallies);
  }
  return sum;
}

void RelayEngine::note_age(Duration age, TimePoint now) {
  // An age instead of a time avoids any dependence on the peer's clock.
  this->confirmed =
      std::max(this->confirmed, now - std::max(age, Duration::zero()));
}

void RelayEngine::start_fetch(const std::string& from) {
  this->fetching = true;
  this->commands.fetch = from;
}

/// Compares generations alternately with the parent and with overlay neighbors
/// in any zone. The parent has the release if only its push was lost; neighbors
/// in other zones have it if a whole zone missed the push.
void RelayEngine::compare(TimePoint now) {
  const bool lacking = this->current == 0;
  this->next_compare =
      now + this->jittered(lacking ? this->settings.first_compare_interval
                                   : this->settings.compare_interval);
  const auto& peers = this->overlay.neighbours();
  if (this->fetching || peers.empty()) {
    return;
  }
  ++this->turn;
  const auto& parent = this->place.parent();
  if (parent && this->turn % 2 == 0) {
    this->start_fetch(*parent);
  } else {
    this->start_fetch(peers[(this->turn / 2) % peers.size()]);
  }
}

void RelayEngine::help_self(TimePoint now) {
  Duration patience = this->settings.self_help_after;
  if (this->current == 0) {
    // In a cold start of the whole fleet the watchers read first. The other
    // daemons spread their reads; otherwise all would read in the same second
    // and the platform would refuse most of them.
    patience = this->settings.first_read_watcher;
    if (!this->place.watches()) {
      const Duration spread =
          this->settings.first_read_per_member * this->fleet;
      patience =
          this->settings.first_read_other +
          std::chrono::duration_cast<Duration>(spread * this->start_share);
    }
  }
  const TimePoint since = this->current == 0 ? this->started : this->confirmed;
  if (this->reading || now - since < patience || now < this->next_read) {
    return;
  }
  this->reading = true;
  this->next_read = now + this->jittered(this->settings.read_refill);
  this->commands.read_platform = true;
}

void RelayEngine::report(TimePoint now) {
  std::erase_if(this->reports, [this, now](const auto& entry) {
    return now - entry.second.when > this->settings.report_expiry;
  });
  const auto& parent = this->place.parent();
  if (!parent) {
    return;
  }
  Tallies fresh = this->subtree();
  if (fresh == this->last_report && parent == this->last_parent &&
      now < this->next_report) {
    return;
  }
  this->last_report = std::move(fresh);
  this->last_parent = parent;
  this->next_report = now + this->jittered(this->settings.report_interval);
  this->commands.report_to = parent;
}

Duration RelayEngine::jittered(Duration pause) {
  return std::chrono::duration_cast<Duration>(
      pause * (kLeastJitter + kJitterSpan * this->draw()));
}

double RelayEngine::draw() {
  return std::uniform_real_distribution<double>(0.0, 1.0)(this->random);
}

}  // namespace ibismux::relay
