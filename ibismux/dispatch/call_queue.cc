#include "ibismux/dispatch/call_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ibismux::dispatch {

CallQueue::Position CallQueue::enqueue(std::uint32_t priority,
                                       const fairness::Share& share,
                                       Start start,
                                       TimePoint now) {
  if (this->lanes.empty()) {
    this->nonempty_since = now;
  }
  const Position position{priority, this->orders[priority].enqueue(share)};
  this->lanes[priority].emplace(position.tag, Call{share, std::move(start)});
  return position;
}

void CallQueue::remove(const Position& position) {
  const auto lane = this->lanes.find(position.priority);
  if (lane == this->lanes.end()) {
    return;
  }
  const auto call = lane->second.find(position.tag);
  if (call == lane->second.end()) {
    return;
  }
  this->orders[position.priority].on_leave(call->second.share);
  lane->second.erase(call);
  if (lane->second.empty()) {
    this->lanes.erase(lane);
    this->reset_empty_orders();
  }
}

void CallQueue::start_waiting(const std::function<bool()>& has_capacity) {
  std::optional<Position> position = this->next_after(std::nullopt);
  for (; position && has_capacity(); position = this->next_after(position)) {
    // Removed from the queue while `start` runs, because `start` may end
    // waiting calls, including this one.
    Call call = this->extract(*position);
    ++this->starting;
    const bool started = call.start();
    --this->starting;
    if (started) {
      this->orders[position->priority].on_start(call.share, position->tag);
    } else {
      this->lanes[position->priority].emplace(position->tag, std::move(call));
    }
    this->reset_empty_orders();
  }
}

void CallQueue::reset_empty_orders() {
  // A call that is being started may join the queue again with its old tag.
  if (this->starting > 0) {
    return;
  }
  for (auto& [priority, order] : this->orders) {
    if (!this->lanes.contains(priority)) {
      order.on_empty();
    }
  }
}

std::optional<CallQueue::Position> CallQueue::next_after(
    const std::optional<Position>& position) const {
  const std::uint32_t priority = position ? position->priority : 0;
  for (auto lane = this->lanes.lower_bound(priority); lane != this->lanes.end();
       ++lane) {
    const bool same = position && lane->first == position->priority;
    const auto call =
        same ? lane->second.upper_bound(position->tag) : lane->second.begin();
    if (call != lane->second.end()) {
      return Position{lane->first, call->first};
    }
  }
  return std::nullopt;
}

CallQueue::Call CallQueue::extract(const Position& position) {
  const auto lane = this->lanes.find(position.priority);
  auto call = lane->second.extract(position.tag);
  if (lane->second.empty()) {
    this->lanes.erase(lane);
  }
  return std::move(call.mapped());
}

std::size_t CallQueue::count_ahead(std::uint32_t priority,
                                   const fairness::Share& share) const {
  std::size_t ahead = 0;
  for (const auto& [other, lane] : this->lanes) {
    if (other > priority) {
      break;
    }
    if (other < priority) {
      ahead += lane.size();
      continue;
    }
    const fairness::FairOrder& order = this->orders.at(other);
    const auto end = lane.lower_bound(order.next(share));
    const std::size_t waiting =
        end == lane.end()
            ? lane.size()
            : static_cast<std::size_t>(std::distance(lane.begin(), end));
    ahead += std::max(waiting, order.calls_before(share));
  }
  return ahead;
}

}  // namespace ibismux::dispatch
