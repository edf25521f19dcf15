#include "ibismux/caller/answer_renderer.h"

#include <boost/algorithm/hex.hpp>
#include <boost/json/monotonic_resource.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/locale/utf.hpp>
#include <chrono>
#include <iterator>

#include "ibismux/query/query_answer.h"
#include "ibismux/reservation/reservation_answer.h"

namespace ibismux::caller {

namespace {

namespace json = boost::json;

// By `reservation::KeyState`.
constexpr std::string_view kStateNames[] = {"not_run", "running", "run",
                                            "unknown"};

/// An answer's JSON tree, out of one arena: an answer may name hundreds of
/// shards and a thousand hits.
class Tree {
 public:
  explicit Tree(std::string_view request_id) : root(&this->arena) {
    this->root["request_id"] = request_id;
  }

  [[nodiscard]] json::object& object() noexcept { return this->root; }

  [[nodiscard]] http::Response render(int status) const {
    http::Response response;
    response.status = status;
    response.add("Content-Type", "application/json");
    response.body = json::serialize(this->root);
    return response;
  }

 private:
  json::monotonic_resource arena;
  json::object root;
};

std::string_view name_of(reservation::KeyState state) noexcept {
  return kStateNames[static_cast<std::size_t>(state)];
}

std::string_view name_of(Execution execution) noexcept {
  return execution == Execution::kNotRun ? "not_run" : "unknown";
}

void add_coverage(json::object& root, const query::Coverage& coverage) {
  json::object& object = root["coverage"].emplace_object();
  object["total"] = coverage.total;
  json::array& contributed = object["contributed"].emplace_array();
  contributed.reserve(coverage.contributed.size());
  for (const std::string& shard : coverage.contributed) {
    contributed.emplace_back(json::string_view(shard));
  }
  json::array& missing = object["missing"].emplace_array();
  missing.reserve(coverage.missing.size());
  for (const query::MissingShard& shard : coverage.missing) {
    json::object& entry = missing.emplace_back(nullptr).emplace_object();
    entry["shard"] = shard.shard;
    entry["reason"] = error_entry(shard.reason).name;
  }
}

void add_hits(json::object& root, const std::vector<query::Hit>& hits) {
  json::array& array = root["hits"].emplace_array();
  array.reserve(hits.size());
  for (const query::Hit& hit : hits) {
    json::object& entry = array.emplace_back(nullptr).emplace_object();
    entry["id"] = hit.id;
    entry["score"] = hit.score;
    entry["text"] = hit.text;
    entry["shard"] = hit.shard;
  }
}

void add_cost(json::object& root, const query::QueryAnswer& answer) {
  json::object& object = root["cost"].emplace_object();
  object["leaf_calls"] = answer.leaf_calls;
  object["hedges"] = answer.hedges;
  object["retries"] = answer.retries;
  object["restarts"] = answer.restarts;
}

bool is_utf8(std::string_view text) {
  namespace utf = boost::locale::utf;
  const char* position = text.data();
  const char* const end = position + text.size();
  while (position != end) {
    const utf::code_point point = utf::utf_traits<char>::decode(position, end);
    if (point == utf::illegal || point == utf::incomplete) {
      return false;
    }
  }
  return true;
}

/// A leaf's answer is opaque bytes. JSON text must be UTF-8: other bytes in it
/// make the caller's parser drop the answer, or change it silently.
void add_result(json::object& root, const std::string& body) {
  if (is_utf8(body)) {
    root["result"] = body;
    return;
  }
  std::string digits;
  digits.reserve(body.size() * 2);
  boost::algorithm::hex_lower(body, std::back_inserter(digits));
  root["result_hex"] = digits;
}

void add_retry_after(http::Response& response,
                     json::object& root,
                     std::chrono::milliseconds wait) {
  root["retry_after_ms"] = wait.count();
  response.add(
      "Retry-After",
      std::to_string(std::chrono::ceil<std::chrono::seconds>(wait).count()));
}

}  // namespace

http::Response render_query(std::string_view request_id,
                            const query::QueryAnswer& answer) {
  Tree tree(request_id);
  tree.object()["snapshot"] = answer.snapshot;
  add_coverage(tree.object(), answer.coverage);
  add_hits(tree.object(), answer.hits);
  add_cost(tree.object(), answer);
  return tree.render(200);
}

http::Response render_reservation(
    std::string_view request_id,
    const reservation::ReservationAnswer& answer) {
  const bool ran = answer.state == reservation::KeyState::kRun;
  Tree tree(request_id);
  tree.object()["state"] = name_of(answer.state);
  tree.object()["shard"] = answer.shard;
  tree.object()["repeat"] = answer.repeat;
  if (ran) {
    add_result(tree.object(), answer.body);
  }
  return tree.render(ran ? 200 : 202);
}

http::Response render_key(std::string_view request_id,
                          std::string_view key,
                          const reservation::ReservationAnswer& answer) {
  Tree tree(request_id);
  tree.object()["key"] = key;
  tree.object()["state"] = name_of(answer.state);
  if (answer.state == reservation::KeyState::kRun) {
    add_result(tree.object(), answer.body);
  }
  return tree.render(200);
}

http::Response render_ticket(std::string_view request_id,
                             std::string_view ticket) {
  Tree tree(request_id);
  tree.object()["ticket"] = ticket;
  return tree.render(200);
}

http::Response render_error(std::string_view request_id, const Error& error) {
  const ErrorEntry& entry = error_entry(error.kind);
  http::Response response;
  response.status = entry.http_status;
  response.add("Content-Type", "application/json");
  json::object root;
  root["request_id"] = request_id;
  root["error"] = entry.name;
  root["message"] = error.message;
  root["execution"] = name_of(error.execution);
  if (error.retry_after) {
    add_retry_after(response, root, *error.retry_after);
  }
  response.body = json::serialize(root);
  return response;
}

}  // namespace ibismux::caller
