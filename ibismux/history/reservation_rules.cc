#include "ibismux/history/reservation_rules.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace ibismux::history {

namespace {

std::string micros(Instant at) {
  return std::to_string(at.count()) + " us";
}

}  // namespace

ReservationRules::Group& ReservationRules::group_of(
    const std::string& key,
    const std::string& body_hash) {
  Group& group = this->groups[key.empty() ? "body " + body_hash : "key " + key];
  group.key = key;
  return group;
}

void ReservationRules::add(const ReservationRecord& reservation) {
  const Exchange& exchange = reservation.exchange;
  ++this->reservation_count;
  if (exchange.was_cut()) {
    this->report({ViolationKind::kCutRequest, exchange.request_id,
                  "no answer: " + exchange.error});
  }
  Attempt attempt{exchange.request_id,
                  exchange.service,
                  exchange.body_hash,
                  exchange.error,
                  exchange.status == 200 ? reservation.result : std::string(),
                  exchange.sent,
                  exchange.says_not_run(),
                  exchange.execution != "not_run"};
  this->group_of(reservation.key, exchange.body_hash)
      .attempts.push_back(std::move(attempt));
}

void ReservationRules::add(const RunRecord& run) {
  ++this->run_count;
  this->group_of(run.key, run.body_hash)
      .runs.push_back({run.call_id, run.leaf, run.body_hash, run.begin});
}

void ReservationRules::check() {
  for (const auto& [name, group] : this->groups) {
    this->check_executions(group);
    for (std::size_t i = 0; i < group.attempts.size(); ++i) {
      if (group.attempts[i].not_run) {
        this->check_not_run(group, i);
      }
      this->check_result(group, group.attempts[i]);
    }
  }
}

std::size_t ReservationRules::allowed_runs(const Group& group) {
  if (group.key.empty()) {
    return static_cast<std::size_t>(
        std::ranges::count_if(group.attempts, &Attempt::may_run));
  }
  std::set<std::string_view> services;
  for (const Attempt& attempt : group.attempts) {
    services.insert(attempt.service);
  }
  return std::max<std::size_t>(services.size(), 1);
}

void ReservationRules::check_executions(const Group& group) {
  const std::size_t allowed = allowed_runs(group);
  // A run of no recorded request without a key can't be judged.
  const bool judged = !group.key.empty() || !group.attempts.empty();
  if (!judged || group.runs.size() <= std::max<std::size_t>(allowed, 1)) {
    return;
  }
  std::string evidence = std::to_string(group.runs.size()) + " runs:";
  for (const Run& run : group.runs) {
    evidence += " call " + run.call_id + " at " + run.leaf + " from " +
                micros(run.begin) + ";";
  }
  evidence.pop_back();
  this->report(
      {ViolationKind::kDoubleExecution,
       group.key.empty() ? group.attempts.front().request_id : group.key,
       std::move(evidence)});
}

bool ReservationRules::explained(const Group& group,
                                 const Run& run,
                                 std::size_t except) {
  for (std::size_t i = 0; i < group.attempts.size(); ++i) {
    const Attempt& other = group.attempts[i];
    if (i != except && other.may_run && other.sent <= run.begin &&
        other.body_hash == run.body_hash) {
      return true;
    }
  }
  return false;
}

void ReservationRules::check_not_run(const Group& group, std::size_t attempt) {
  const Attempt& refused = group.attempts[attempt];
  for (const Run& run : group.runs) {
    if (run.body_hash != refused.body_hash) {
      continue;  // Another body under the key; this one did not run.
    }
    const bool earlier = !group.key.empty() && run.begin < refused.sent;
    const bool own =
        run.begin >= refused.sent && !explained(group, run, attempt);
    if (earlier || own) {
      this->report({ViolationKind::kFalseNotRun, refused.request_id,
                    "sent at " + micros(refused.sent) + ", refused as " +
                        refused.error + "; call " + run.call_id + " ran at " +
                        run.leaf + " from " + micros(run.begin)});
      return;
    }
  }
}

void ReservationRules::check_result(const Group& group,
                                    const Attempt& attempt) {
  if (attempt.result.empty()) {
    return;  // None was given, or it was too long to keep.
  }
  const std::string prefix = group.key + "|" + attempt.body_hash + "|";
  if (!attempt.result.starts_with(prefix)) {
    this->report({ViolationKind::kForeignPart, attempt.request_id,
                  "asked as " + prefix + "…, answered " + attempt.result});
    return;
  }
  const std::string call = attempt.result.substr(prefix.size());
  const bool ran = std::ranges::any_of(
      group.runs, [&call](const Run& run) { return run.call_id == call; });
  if (!ran && this->run_count > 0) {
    this->report({ViolationKind::kForeignPart, attempt.request_id,
                  "no leaf ran call " + call});
  }
}

}  // namespace ibismux::history
