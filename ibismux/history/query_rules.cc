#include "ibismux/history/query_rules.h"

#include <algorithm>
#include <array>
#include <set>
#include <string_view>

namespace ibismux::history {

namespace {

constexpr std::size_t kParts = 3;

/// `a|b|c`; parts that are missing are empty.
std::array<std::string_view, kParts> split(std::string_view text) {
  std::array<std::string_view, kParts> parts;
  for (std::size_t i = 0; i < kParts; ++i) {
    const std::size_t bar = i + 1 < kParts ? text.find('|') : text.npos;
    parts[i] = text.substr(0, bar);
    text = bar == text.npos ? std::string_view() : text.substr(bar + 1);
  }
  return parts;
}

}  // namespace

void QueryRules::check(const QueryRecord& query) {
  if (query.exchange.was_cut()) {
    this->tell(ViolationKind::kCutRequest, query,
               "no answer: " + query.exchange.error);
  }
  if (query.exchange.says_not_run()) {
    this->check_not_run(query);
  }
  if (query.exchange.status == 200) {
    this->check_hits(query);
    this->check_coverage(query);
  }
}

void QueryRules::check_hits(const QueryRecord& query) {
  for (const QueryRecord::Hit& hit : query.hits) {
    const auto [snapshot, shard, body_hash] = split(hit.text);
    if (body_hash != query.exchange.body_hash || shard != hit.shard) {
      this->tell(
          ViolationKind::kForeignPart, query,
          "hit " + hit.id + " of shard " + hit.shard + " is " + hit.text);
    } else if (snapshot != query.snapshot) {
      this->tell(ViolationKind::kMixedSnapshot, query,
                 "answer of " + query.snapshot + " holds " + hit.text);
    }
    if (std::ranges::find(query.contributed, hit.shard) ==
        query.contributed.end()) {
      this->tell(ViolationKind::kFalseCoverage, query,
                 "hit of shard " + hit.shard + ", which did not contribute");
    }
  }
}

void QueryRules::check_coverage(const QueryRecord& query) {
  std::set<std::string_view> named;
  for (const auto* list : {&query.contributed, &query.missing}) {
    for (const std::string& shard : *list) {
      if (!named.insert(shard).second) {
        this->tell(ViolationKind::kFalseCoverage, query,
                   "shard " + shard + " is named twice");
      }
    }
  }
  const std::size_t count = query.contributed.size() + query.missing.size();
  if (query.total != count) {
    this->tell(ViolationKind::kFalseCoverage, query,
               "total " + std::to_string(query.total) + ", but " +
                   std::to_string(count) + " shards named");
  }
  const auto [known, fresh] = this->totals.try_emplace(
      {query.exchange.service, query.snapshot}, query.total);
  if (!fresh && known->second != query.total) {
    this->tell(ViolationKind::kFalseCoverage, query,
               "total " + std::to_string(query.total) + " of " +
                   query.snapshot + ", which had " +
                   std::to_string(known->second) + " shards before");
  }
  for (const std::string& shard : query.contributed) {
    if (!this->runs.answered(query.exchange.body_hash, query.snapshot, shard)) {
      this->tell(
          ViolationKind::kFalseCoverage, query,
          "no leaf answered for shard " + shard + " of " + query.snapshot);
    }
  }
}

void QueryRules::check_not_run(const QueryRecord& query) {
  for (const Instant begin : this->runs.begins(query.exchange.body_hash)) {
    if (begin < query.exchange.sent) {
      continue;  // Of an earlier request with the same body.
    }
    this->tell(ViolationKind::kFalseNotRun, query,
               "a leaf ran it at " + std::to_string(begin.count()) +
                   " us; refused as " + query.exchange.error);
    return;
  }
}

void QueryRules::tell(ViolationKind kind,
                      const QueryRecord& query,
                      std::string evidence) {
  this->report({kind, query.exchange.request_id, std::move(evidence)});
}

}  // namespace ibismux::history
