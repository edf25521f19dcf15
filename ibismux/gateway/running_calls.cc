#include "ibismux/gateway/running_calls.h"

namespace ibismux::gateway {

void RunningCalls::add(const CallId& id, RunningCall call) {
  this->ahead.emplace(call.deadline, id);
  this->calls.emplace(id, std::move(call));
}

RunningCall* RunningCalls::find(const CallId& id) {
  const auto found = this->calls.find(id);
  return found == this->calls.end() ? nullptr : &found->second;
}

RunningCall RunningCalls::remove(const CallId& id) {
  const auto found = this->calls.find(id);
  RunningCall call = std::move(found->second);
  this->calls.erase(found);
  this->ahead.erase({call.deadline, id});
  this->behind.erase({call.deadline, id});
  return call;
}

std::vector<CallId> RunningCalls::pass_deadlines(TimePoint now) {
  std::vector<CallId> passed = take_until(this->ahead, now);
  for (const CallId& id : passed) {
    this->behind.emplace(this->calls.at(id).deadline, id);
  }
  return passed;
}

std::vector<CallId> RunningCalls::take_overdue(TimePoint since) {
  return take_until(this->behind, since);
}

std::optional<TimePoint> RunningCalls::next_deadline() const {
  if (this->ahead.empty()) {
    return std::nullopt;
  }
  return this->ahead.begin()->first;
}

std::vector<CallId> RunningCalls::take_until(Due& due, TimePoint now) {
  std::vector<CallId> taken;
  while (!due.empty() && due.begin()->first <= now) {
    taken.push_back(due.begin()->second);
    due.erase(due.begin());
  }
  return taken;
}

}  // namespace ibismux::gateway
