#include "ibismux/gateway/leaf_queue.h"

#include <algorithm>

namespace ibismux::gateway {

namespace {

/// The least part of a leaf that is reckoned to be left for a low priority.
constexpr double kLeastLeft = 0.02;

}  // namespace

LeafQueue::Offer LeafQueue::offer(QueuedCall& call,
                                  TimePoint now,
                                  Duration pace,
                                  Duration service) {
  Offer result;
  result.wait = this->wait_of(call, now, pace);
  if (now + result.wait + service > call.deadline) {
    result.verdict = Verdict::kHopeless;
    return result;
  }
  if (this->size() >= this->capacity) {
    result.evicted = this->evict_below(call.priority);
    if (!result.evicted) {
      result.verdict = Verdict::kFull;
      return result;
    }
  }
  this->rates[static_cast<std::size_t>(call.priority)].add(now);
  const Key key{call.deadline, ++this->arrivals};
  this->index[call.id] = Place{call.priority, key};
  const Priority priority = call.priority;
  this->line(priority).emplace(key, std::move(call));
  return result;
}

std::optional<QueuedCall> LeafQueue::pop() {
  for (Line& line : this->lines) {
    if (!line.empty()) {
      return this->take(line, line.begin());
    }
  }
  return std::nullopt;
}

std::vector<QueuedCall> LeafQueue::take_expired(TimePoint now) {
  std::vector<QueuedCall> expired;
  for (Line& line : this->lines) {
    while (!line.empty() && line.begin()->first.first <= now) {
      expired.push_back(this->take(line, line.begin()));
    }
  }
  return expired;
}

std::vector<QueuedCall> LeafQueue::take_all() {
  return this->take_expired(TimePoint::max());
}

std::optional<QueuedCall> LeafQueue::remove(const CallId& id) {
  const auto found = this->index.find(id);
  if (found == this->index.end()) {
    return std::nullopt;
  }
  Line& line = this->line(found->second.first);
  return this->take(line, line.find(found->second.second));
}

std::optional<TimePoint> LeafQueue::next_deadline() const {
  std::optional<TimePoint> earliest;
  for (const Line& line : this->lines) {
    if (!line.empty()) {
      const TimePoint first = line.begin()->first.first;
      earliest = earliest ? std::min(*earliest, first) : first;
    }
  }
  return earliest;
}

Duration LeafQueue::wait_of(const QueuedCall& call,
                            TimePoint now,
                            Duration pace) const noexcept {
  const auto own = static_cast<std::size_t>(call.priority);
  std::size_t ahead = this->lines[own].size();
  double overtaking = 0;
  for (std::size_t i = 0; i < own; ++i) {
    ahead += this->lines[i].size();
    overtaking += this->rates[i].per_second(now);
  }
  // Calls of higher priority that come later still go first: where they take
  // the whole leaf, a call of low priority would wait for its deadline in vain,
  // and its caller would hear of it only then.
  const double seconds = std::chrono::duration<double>(pace).count();
  const double left = std::max(kLeastLeft, 1.0 - overtaking * seconds);
  return std::chrono::duration_cast<Duration>(
      pace * static_cast<double>(ahead) / left);
}

std::optional<QueuedCall> LeafQueue::evict_below(Priority priority) {
  for (std::size_t i = kPriorities - 1; i > static_cast<std::size_t>(priority);
       --i) {
    if (!this->lines[i].empty()) {
      return this->take(this->lines[i], std::prev(this->lines[i].end()));
    }
  }
  return std::nullopt;
}

QueuedCall LeafQueue::take(Line& line, Line::iterator position) {
  QueuedCall call = std::move(position->second);
  line.erase(position);
  this->index.erase(call.id);
  return call;
}

}  // namespace ibismux::gateway
