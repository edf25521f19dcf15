#include "ibismux/dispatch/call_queue.h"

#include <utility>

namespace ibismux::dispatch {

CallQueue::Place CallQueue::join(std::uint32_t priority,
                                 Start start,
                                 TimePoint now) {
  if (this->lanes.empty()) {
    this->nonempty_since = now;
  }
  const Place place{priority, this->next_number++};
  this->lanes[priority].emplace(place.number, std::move(start));
  return place;
}

void CallQueue::leave(const Place& place) {
  const auto lane = this->lanes.find(place.priority);
  if (lane == this->lanes.end()) {
    return;
  }
  lane->second.erase(place.number);
  if (lane->second.empty()) {
    this->lanes.erase(lane);
  }
}

void CallQueue::offer(const std::function<bool()>& has_capacity) {
  std::optional<Place> place = this->next_after(std::nullopt);
  for (; place && has_capacity(); place = this->next_after(place)) {
    // Removed from the queue while `start` runs, because `start` may end
    // waiting calls, including this one.
    Start start = this->extract(*place);
    if (!start()) {
      this->lanes[place->priority].emplace(place->number, std::move(start));
    }
  }
}

std::optional<CallQueue::Place> CallQueue::next_after(
    const std::optional<Place>& place) const {
  const std::uint32_t priority = place ? place->priority : 0;
  for (auto lane = this->lanes.lower_bound(priority); lane != this->lanes.end();
       ++lane) {
    const bool same = place && lane->first == place->priority;
    const auto call =
        same ? lane->second.upper_bound(place->number) : lane->second.begin();
    if (call != lane->second.end()) {
      return Place{lane->first, call->first};
    }
  }
  return std::nullopt;
}

CallQueue::Start CallQueue::extract(const Place& place) {
  const auto lane = this->lanes.find(place.priority);
  auto call = lane->second.extract(place.number);
  if (lane->second.empty()) {
    this->lanes.erase(lane);
  }
  return std::move(call.mapped());
}

std::size_t CallQueue::ahead_of(std::uint32_t priority) const noexcept {
  std::size_t ahead = 0;
  for (const auto& [other, lane] : this->lanes) {
    if (other > priority) {
      break;
    }
    ahead += lane.size();
  }
  return ahead;
}

}  // namespace ibismux::dispatch
