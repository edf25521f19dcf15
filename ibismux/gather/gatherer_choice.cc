#include "ibismux/gather/gatherer_choice.h"

#include <algorithm>
#include <utility>

namespace ibismux::gather {

namespace {

// A peer that has offered nothing for so long is forgotten.
constexpr std::chrono::seconds kForgottenAfter{60};

}  // namespace

void GathererChoice::on_offer(const std::string& member,
                              std::uint64_t sequence,
                              std::size_t room,
                              TimePoint now) {
  Gatherer& gatherer = this->gatherers[member];
  gatherer.offer = sequence;
  gatherer.room = room;
  gatherer.offered_at = now;
  this->forget_old(now);
}

bool GathererChoice::is_open(const Gatherer& gatherer, TimePoint now) {
  return gatherer.room > 0 && now - gatherer.offered_at <= kOfferHolds &&
         now >= gatherer.rests_until;
}

bool GathererChoice::has_choice(TimePoint now) const {
  return std::any_of(
      this->gatherers.begin(), this->gatherers.end(),
      [now](const Row& row) { return is_open(row.second, now); });
}

std::optional<GathererChoice::Pick> GathererChoice::choose(TimePoint now) {
  Row* best = nullptr;
  const auto order = [this](const Row& row) {
    return std::pair(row.second.under_way, row.first == this->last);
  };
  for (Row& row : this->gatherers) {
    if (is_open(row.second, now) && (!best || order(row) < order(*best))) {
      best = &row;
    }
  }
  if (!best) {
    return std::nullopt;
  }
  --best->second.room;
  ++best->second.under_way;
  this->last = best->first;
  return Pick{best->first, best->second.offer};
}

void GathererChoice::on_taken(const std::string& member) {
  this->gatherers[member].rest = Duration::zero();
}

void GathererChoice::on_refused(const std::string& member) {
  this->gatherers[member].room = 0;
}

void GathererChoice::on_silent(const std::string& member, TimePoint now) {
  Gatherer& gatherer = this->gatherers[member];
  gatherer.rest =
      std::clamp<Duration>(gatherer.rest * 2, kFirstRest, kLongestRest);
  gatherer.rests_until = now + gatherer.rest;
}

void GathererChoice::on_end(const std::string& member) {
  const auto gatherer = this->gatherers.find(member);
  if (gatherer != this->gatherers.end() && gatherer->second.under_way > 0) {
    --gatherer->second.under_way;
  }
}

void GathererChoice::forget_old(TimePoint now) {
  std::erase_if(this->gatherers, [now](const Row& row) {
    return row.second.under_way == 0 &&
           now - row.second.offered_at > kForgottenAfter;
  });
}

}  // namespace ibismux::gather
