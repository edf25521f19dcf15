#include "ibismux/feed/source_choice.h"

#include <algorithm>

#include "ibismux/membership/membership_view.h"

namespace ibismux::feed {

SourceChoice::SourceChoice(SourceSettings settings, TimePoint now)
    : settings(settings),
      tree(settings.watchers, settings.fan_out),
      confirmed(now - settings.self_help_after),
      by_peers_until(now),
      heard_at(now),
      next_question(now),
      pushed_until(now) {}

void SourceChoice::on_view(const membership::MembershipView& view) {
  this->tree.rebuild(view);
  // A daemon that is not part of its own view doesn't know the others yet.
  this->watches = this->tree.watches() || !view.joined;
}

void SourceChoice::on_store_contact(TimePoint now) {
  this->confirmed = std::max(this->confirmed, now);
  this->has_followed = true;
  this->relies_on_none = false;
}

void SourceChoice::on_peer_contact(Duration age, TimePoint now) {
  this->heard_at = now;
  // Peers report ages instead of times, so their clocks don't matter.
  this->confirmed = std::max(this->confirmed, now - age);
  const TimePoint until = now - age + this->settings.fresh_for;
  if (until < now) {
    return;
  }
  this->relies_on_none = false;
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
  this->relies_on_none = true;
}

std::optional<std::string> SourceChoice::tick(TimePoint now) {
  this->choose(now);
  if (!this->should_ask(now) || now < this->next_question) {
    return std::nullopt;
  }
  this->next_question = now + this->settings.ask_interval;
  return this->next_to_ask(now);
}

bool SourceChoice::should_ask(TimePoint now) const noexcept {
  const Duration age = this->age(now);
  // A watcher contacts the store itself every second.
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
    const bool trusted = now - this->trusted_from >= this->settings.trust_after;
    if (fresh && (trusted || !this->has_followed)) {
      this->current = Source::kPeers;
      this->has_followed = true;
    }
  } else if (this->age(now) >= this->help_after(now)) {
    this->current = Source::kStore;
    this->trusted_from = TimePoint::max();
  }
}

Duration SourceChoice::help_after(TimePoint now) const noexcept {
  const SourceSettings& times = this->settings;
  // The lower ranks belong to the watchers and the first helpers.
  const std::size_t before = times.watchers + times.first_helpers;
  if (this->tree.zone_rank() < before) {
    return times.first_help_after;
  }
  const bool alone =
      this->relies_on_none || now - this->heard_at > times.alone_after;
  const double place = static_cast<double>(this->tree.zone_rank() - before) /
                       static_cast<double>(this->tree.zone_size());
  return times.self_help_after +
         (alone ? Duration::zero() : scaled(times.help_spread, place));
}

std::size_t SourceChoice::helpers(TimePoint now) const noexcept {
  const SourceSettings& times = this->settings;
  const Duration beyond = this->age(now) - times.self_help_after;
  if (beyond < Duration::zero()) {
    return this->tree.zones() * times.first_helpers;
  }
  const double part =
      std::min(1.0, to_seconds(beyond) / to_seconds(times.help_spread));
  const auto all = static_cast<double>(this->tree.behind_watchers().size());
  return std::max(this->tree.zones() * times.first_helpers,
                  static_cast<std::size_t>(part * all));
}

std::optional<std::string> SourceChoice::next_to_ask(TimePoint now) {
  const auto& watchers = this->tree.entries();
  if (watchers.empty()) {
    return std::nullopt;
  }
  if (this->best) {
    return this->best;
  }
  // Alternates between watchers and helpers. If the store rejects a part of the
  // hosts, these may include this daemon and all watchers; then only the
  // helpers that have read the store have newer updates.
  const auto& behind = this->tree.behind_watchers();
  const std::size_t helping = std::min(behind.size(), this->helpers(now));
  const std::size_t turn = this->turn++;
  if (turn % 2 == 0 || helping == 0) {
    return watchers[(turn / 2) % watchers.size()];
  }
  return behind[(turn / 2) % helping];
}

}  // namespace ibismux::feed
