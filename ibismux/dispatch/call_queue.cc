#include "ibismux/dispatch/call_queue.h"

#include <utility>

namespace ibismux::dispatch {

CallQueue::Position CallQueue::enqueue(std::uint32_t priority,
                                       Start start,
                                       TimePoint now) {
  if (this->lanes.empty()) {
    this->nonempty_since = now;
  }
  const Position position{priority, this->next_number++};
  this->lanes[priority].emplace(position.number, std::move(start));
  return position;
}

void CallQueue::remove(const Position& position) {
  const auto lane = this->lanes.find(position.priority);
  if (lane == this->lanes.end()) {
    return;
  }
  lane->second.erase(position.number);
  if (lane->second.empty()) {
    this->lanes.erase(lane);
  }
}

void CallQueue::start_waiting(const std::function<bool()>& has_capacity) {
  std::optional<Position> position = this->next_after(std::nullopt);
  for (; position && has_capacity(); position = this->next_after(position)) {
    // Removed from the queue while `start` runs, because `start` may end
    // waiting calls, including this one.
    Start start = this->extract(*position);
    if (!start()) {
      this->lanes[position->priority].emplace(position->number,
                                              std::move(start));
    }
  }
}

std::optional<CallQueue::Position> CallQueue::next_after(
    const std::optional<Position>& position) const {
  const std::uint32_t priority = position ? position->priority : 0;
  for (auto lane = this->lanes.lower_bound(priority); lane != this->lanes.end();
       ++lane) {
    const bool same = position && lane->first == position->priority;
    const auto call = same ? lane->second.upper_bound(position->number)
                           : lane->second.begin();
    if (call != lane->second.end()) {
      return Position{lane->first, call->first};
    }
  }
  return std::nullopt;
}

CallQueue::Start CallQueue::extract(const Position& position) {
  const auto lane = this->lanes.find(position.priority);
  auto call = lane->second.extract(position.number);
  if (lane->second.empty()) {
    this->lanes.erase(lane);
  }
  return std::move(call.mapped());
}

std::size_t CallQueue::count_ahead(std::uint32_t priority) const noexcept {
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
