#include "apps/ibismux-load/answer_check.h"

#include <xxhash.h>

#include <array>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <cstdio>
#include <utility>

namespace ibismux::load {

namespace {

namespace json = boost::json;

std::string text(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_string()
             ? std::string(value->as_string())
             : std::string();
}

std::uint64_t count(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_int64()
             ? static_cast<std::uint64_t>(value->as_int64())
             : 0;
}

const json::object& part(const json::object& object, std::string_view key) {
  static const json::object none;
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_object() ? value->as_object() : none;
}

const json::array& list(const json::object& object, std::string_view key) {
  static const json::array none;
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_array() ? value->as_array() : none;
}

/// A stand-in's hit says where it is from: `snapshot|shard|body_hash`.
bool hits_belong(const AnswerFacts& facts, const std::string& hash) {
  for (const json::value& value : list(facts.body, "hits")) {
    const json::object& hit = value.as_object();
    const std::string expected =
        facts.snapshot + "|" + text(hit, "shard") + "|" + hash;
    if (text(hit, "text") != expected) {
      return false;
    }
  }
  return true;
}

/// A stand-in's reservation result is `key|body_hash|call_id`.
bool result_belongs(const AnswerFacts& facts, const std::string& hash) {
  return facts.result.empty() ||
         facts.result.find("|" + hash + "|") != std::string::npos;
}

}  // namespace

std::string body_hash(std::string_view body) {
  std::array<char, 17> digits{};
  std::snprintf(
      digits.data(), digits.size(), "%016llx",
      static_cast<unsigned long long>(XXH3_64bits(body.data(), body.size())));
  return digits.data();
}

AnswerFacts read_answer(const http::Response& response,
                        const std::string& hash) {
  AnswerFacts facts;
  facts.status = response.status;
  boost::system::error_code error;
  json::value body = json::parse(response.body, error);
  if (error || !body.is_object()) {
    facts.error = "unreadable";
    return facts;
  }
  facts.body = std::move(body.as_object());
  facts.error = text(facts.body, "error");
  facts.execution = text(facts.body, "execution");
  facts.snapshot = text(facts.body, "snapshot");
  facts.state = text(facts.body, "state");
  facts.result = text(facts.body, "result");
  const json::value* repeat = facts.body.if_contains("repeat");
  facts.repeat = repeat != nullptr && repeat->is_bool() && repeat->as_bool();
  if (facts.body.contains("retry_after_ms")) {
    facts.retry_after_ms =
        static_cast<std::int64_t>(count(facts.body, "retry_after_ms"));
  }
  const json::object& coverage = part(facts.body, "coverage");
  facts.shards = count(coverage, "total");
  facts.contributed = list(coverage, "contributed").size();
  const json::object& cost = part(facts.body, "cost");
  facts.leaf_calls = count(cost, "leaf_calls");
  facts.hedges = count(cost, "hedges");
  facts.retries = count(cost, "retries");
  facts.restarts = count(cost, "restarts");
  facts.foreign = !hits_belong(facts, hash) || !result_belongs(facts, hash);
  return facts;
}

}  // namespace ibismux::load
