#include "ibismux/feed/source_choice.h"

#include <algorithm>

#include "ibismux/membership/membership_view.h"

namespace ibismux::feed {

SourceChoice::SourceChoice(SourceSettings settings, TimePoint now)
    : settings(settings),
      tree(settings.watchers, settings.fan_out),
      confirmed(now - settings.self_help_after),
      by_peers_until(now),
      next_question(now),
      pushed_until(now) {}

void SourceChoice::on_view(const membership::MembershipView& view) {
  this->tree.rebuild(view);
  this->others.clear();
  for (const membership::Member& member : view.members) {
    if (member.serves() && member.name != view.self) {
      this->others.push_back(member.name);
    }
  }
  // A daemon without a place in its own view has not met the others yet.
  this->watches = this->tree.watches() || !view.joined;
}

void SourceChoice::on_store_contact(TimePoint now) {
  this->confirmed = std::max(this->confirmed, now);
}

void SourceChoice::on_peer_contact(Duration age, TimePoint now) {
  // A peer's clock plays no part: it says how long ago, not when.
  this->confirmed = std::max(this->confirmed, now - age);
  const TimePoint until = now - age + this->settings.fresh_for;
  if (until < now) {
    return;
  }
  if (this->by_peers_until < now) {
    this->trusted_from = now;
  }
  this->by_peers_until = std::max(this->by_peers_until, until);
}

void SourceChoice::on_push(Duration age, TimePoint now) {
  if (age <= this->settings.usual_age) {
    this->pushed_until = now + this->settings.usual_pause;
  }
}

void SourceChoice::on_answer(const std::string& peer, Duration age) {
  if (age <= this->settings.usual_age) {
    this->best = peer;
  } else {
    this->on_no_answer(peer);
  }
}

void SourceChoice::on_no_answer(const std::string& peer) {
  if (this->best == peer) {
    this->best.reset();
  }
}

void SourceChoice::invalidate(TimePoint now) noexcept {
  this->confirmed =
      std::min(this->confirmed, now - this->settings.self_help_after);
  this->by_peers_until = std::min(this->by_peers_until, now);
}

std::optional<std::string> SourceChoice::tick(TimePoint now) {
  this->choose(now);
  if (!this->should_ask(now) || now < this->next_question) {
    return std::nullopt;
  }
  this->next_question = now + this->settings.ask_interval;
  return this->next_to_ask();
}

bool SourceChoice::should_ask(TimePoint now) const noexcept {
  const Duration age = this->age(now);
  // A watcher reaches the store itself, each second.
  const bool is_served = this->watches || now <= this->pushed_until;
  return age >=
         (is_served ? this->settings.fresh_for : this->settings.ask_from_age);
}

void SourceChoice::choose(TimePoint now) {
  if (this->watches) {
    this->current = Source::kStore;
    return;
  }
  const bool fresh = now <= this->by_peers_until;
  if (this->current == Source::kStore) {
    if (fresh && now - this->trusted_from >= this->settings.trust_after) {
      this->current = Source::kPeers;
    }
  } else if (this->age(now) >= this->settings.self_help_after) {
    this->current = Source::kStore;
    this->trusted_from = TimePoint::max();
  }
}

std::optional<std::string> SourceChoice::next_to_ask() {
  const auto& watchers = this->tree.entries();
  if (watchers.empty()) {
    return std::nullopt;
  }
  if (this->best) {
    return this->best;
  }
  // Watchers and others by turns: where the store turns away a part of the
  // hosts, all watchers may be among them, and this daemon too; then only those
  // that have helped themselves know more.
  const std::size_t now = this->turn++;
  if (now % 2 == 0) {
    return watchers[(now / 2) % watchers.size()];
  }
  const std::size_t step = this->others.size() / 3 + 1;
  return this->others[(now / 2 * step + now) % this->others.size()];
}

}  // namespace ibismux::feed
