#include "tests/history/naive_tier.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace ibismux::history {

namespace json = boost::json;

namespace {

constexpr std::size_t kShards = 3;
constexpr std::int64_t kSecond = 1'000'000;

std::string shard_name(std::size_t i) {
  return "s" + std::to_string(i);
}

}  // namespace

std::vector<std::string> NaiveTier::record(std::size_t requests) {
  for (std::size_t i = 0; i < requests; ++i) {
    if (i == requests / 2) {
      this->left_at = this->now;
      this->lines.push_back(json::serialize(json::object{
          {"type", "leaving"}, {"leaf", "leaf-s0-0"}, {"at_us", this->now}}));
      this->now += 3 * kSecond;
    }
    switch (i % 4) {
      case 0:
        this->configuration(i);
        break;
      case 1:
        this->query();
        break;
      default:
        this->reservation(i % 4 == 2);
    }
  }
  return std::move(this->lines);
}

std::string NaiveTier::leaf_for(const std::string& shard) {
  const bool keeps = this->sometimes(Blunder::kKeepsLeavingLeafs);
  const bool left = this->left_at > 0 && !keeps;
  return "leaf-" + shard + (left ? "-1" : "-0");
}

std::string NaiveTier::run(const std::string& kind,
                           const std::string& shard,
                           const std::string& snapshot,
                           const std::string& key,
                           const std::string& body) {
  const std::string call = "call-" + std::to_string(++this->sequence);
  const std::int64_t begin = this->pass(1000);
  const std::int64_t end = this->pass(1000);
  this->lines.push_back(
      json::serialize(json::object{{"type", "run"},
                                   {"leaf", this->leaf_for(shard)},
                                   {"kind", kind},
                                   {"call_id", call},
                                   {"shard", shard},
                                   {"snapshot", snapshot},
                                   {"key", key},
                                   {"body_hash", body},
                                   {"begin_us", begin},
                                   {"end_us", end},
                                   {"done", "answered"}}));
  return call;
}

void NaiveTier::query() {
  const std::string number = std::to_string(++this->sequence);
  const std::string body = "query-body-" + number;
  const std::int64_t sent = this->pass(1000);
  json::array contributed;
  json::array missing;
  json::array hits;
  for (std::size_t i = 0; i < kShards; ++i) {
    const std::string shard = shard_name(i);
    const std::string snapshot =
        this->sometimes(Blunder::kMixesSnapshots) ? "old" : "new";
    const std::string source =
        this->sometimes(Blunder::kCrossesAnswers) ? "other-body" : body;
    if (this->random(4) == 0) {
      const bool counts = this->sometimes(Blunder::kCountsLateShards);
      (counts ? contributed : missing).emplace_back(shard);
      continue;
    }
    this->run("query", shard, "new", "", body);
    contributed.emplace_back(shard);
    hits.push_back(
        json::object{{"id", "hit-" + shard},
                     {"shard", shard},
                     {"text", snapshot + "|" + shard + "|" + source}});
  }
  const bool cut = this->sometimes(Blunder::kCutsRequests);
  const std::size_t total =
      kShards + (this->sometimes(Blunder::kMiscountsTotal) ? 1 : 0);
  this->lines.push_back(
      json::serialize(json::object{{"type", "query"},
                                   {"request_id", "query-" + number},
                                   {"service", "bay"},
                                   {"body_hash", body},
                                   {"sent_us", sent},
                                   {"done_us", this->pass(1000)},
                                   {"status", cut ? 0 : 200},
                                   {"error", cut ? "cancelled" : ""},
                                   {"execution", cut ? "unknown" : ""},
                                   {"snapshot", "new"},
                                   {"total", total},
                                   {"contributed", std::move(contributed)},
                                   {"missing", std::move(missing)},
                                   {"hits", std::move(hits)}}));
}

NaiveTier::Outcome NaiveTier::reserve_at_leaf(const std::string& key,
                                              const std::string& body) {
  if (this->random(4) == 0) {
    return {};
  }
  const std::string call = this->run("reserve", "s0", "new", key, body);
  const bool lost = this->random(4) == 0;
  std::string result = key + "|" + body + "|" + call;
  if (this->sometimes(Blunder::kCrossesReservations)) {
    result = "another-" + result;
  }
  return {true, lost, std::move(result)};
}

void NaiveTier::answer_reservation(const std::string& key,
                                   const std::string& body,
                                   std::int64_t sent,
                                   const std::string& rest) {
  const std::string number = std::to_string(++this->sequence);
  std::string line =
      json::serialize(json::object{{"type", "reservation"},
                                   {"request_id", "reservation-" + number},
                                   {"service", "spares"},
                                   {"key", key},
                                   {"body_hash", body},
                                   {"sent_us", sent},
                                   {"done_us", this->pass(1000)}});
  line.pop_back();
  this->lines.push_back(line + "," + rest + "}");
}

void NaiveTier::reservation(bool keyed) {
  const std::string number = std::to_string(++this->sequence);
  const std::string key = keyed ? "key-" + number : "";
  const std::string body = "order-body-" + number;
  constexpr const char* kNotRun =
      R"("status":503,"error":"overloaded","execution":"not_run")";
  constexpr const char* kUnknown =
      R"("status":502,"error":"outcome_unknown","execution":"unknown")";
  const std::int64_t sent = this->pass(1000);
  Outcome outcome = this->reserve_at_leaf(key, body);
  if (outcome.lost && this->sometimes(Blunder::kResendsLostReservations)) {
    Outcome second = this->reserve_at_leaf(key, body);
    outcome = second.ran ? std::move(second) : std::move(outcome);
  }
  if (!outcome.ran) {
    this->answer_reservation(key, body, sent, kNotRun);
    if (this->sometimes(Blunder::kRunsAfterNotRun)) {
      (void)this->run("reserve", "s0", "new", key, body);
    }
    return;
  }
  if (outcome.lost) {
    const bool lies = this->sometimes(Blunder::kSaysNotRunOnTimeout);
    this->answer_reservation(key, body, sent, lies ? kNotRun : kUnknown);
  } else {
    this->answer_reservation(
        key, body, sent,
        R"("status":200,"state":"run","result":")" + outcome.result + "\"");
  }
  if (!keyed) {
    return;
  }
  const std::int64_t again = this->pass(1000);
  if (this->sometimes(Blunder::kForgetsKeys)) {
    (void)this->run("reserve", "s0", "new", key, body);
  }
  const bool lies = this->sometimes(Blunder::kSaysNotRunOfRetry);
  this->answer_reservation(key, body, again, lies ? kNotRun : kUnknown);
}

void NaiveTier::configuration(std::size_t change) {
  const std::int64_t accepted = this->pass(1000);
  this->lines.push_back(
      json::serialize(json::object{{"type", "accepted"},
                                   {"change_id", std::to_string(change)},
                                   {"generation", change + 1},
                                   {"at_us", accepted}}));
  for (const char* member : {"host-a", "host-b"}) {
    if (this->sometimes(Blunder::kSlowConfiguration)) {
      this->now += 4 * kSecond;
    }
    std::uint64_t generation = change + 1;
    for (int reading = 0; reading < 2; ++reading) {
      this->lines.push_back(
          json::serialize(json::object{{"type", "in_force"},
                                       {"member", member},
                                       {"incarnation", 7},
                                       {"generation", generation},
                                       {"at_us", this->pass(1000)}}));
      if (change > 0 && this->sometimes(Blunder::kRevertsConfiguration)) {
        generation = change;
      }
    }
  }
}

}  // namespace ibismux::history
