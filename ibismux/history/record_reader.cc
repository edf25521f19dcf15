#include "ibismux/history/record_reader.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>
#include <string>

namespace ibismux::history {

namespace json = boost::json;

namespace {

/// A missing field reads as empty; one of the wrong type throws.
std::string text(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value == nullptr || value->is_null()
             ? std::string()
             : json::value_to<std::string>(*value);
}

std::uint64_t number(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value == nullptr ? 0 : json::value_to<std::uint64_t>(*value);
}

Instant instant(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return Instant(value == nullptr ? 0 : json::value_to<std::int64_t>(*value));
}

/// An incarnation may be written as a number or in digits.
std::string digits(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_number() ? json::serialize(*value)
                                                : text(object, key);
}

std::vector<std::string> names(const json::object& object,
                               std::string_view key) {
  std::vector<std::string> read;
  if (const json::value* list = object.if_contains(key)) {
    for (const json::value& name : list->as_array()) {
      read.push_back(json::value_to<std::string>(name));
    }
  }
  return read;
}

Exchange read_exchange(const json::object& object) {
  Exchange exchange;
  exchange.request_id = text(object, "request_id");
  exchange.service = text(object, "service");
  exchange.body_hash = text(object, "body_hash");
  exchange.sent = instant(object, "sent_us");
  exchange.done = instant(object, "done_us");
  exchange.status = static_cast<int>(number(object, "status"));
  exchange.error = text(object, "error");
  exchange.execution = text(object, "execution");
  return exchange;
}

QueryRecord read_query(const json::object& object) {
  QueryRecord query;
  query.exchange = read_exchange(object);
  query.snapshot = text(object, "snapshot");
  query.total = number(object, "total");
  query.contributed = names(object, "contributed");
  query.missing = names(object, "missing");
  if (const json::value* hits = object.if_contains("hits")) {
    for (const json::value& value : hits->as_array()) {
      const json::object& hit = value.as_object();
      query.hits.push_back(
          {text(hit, "id"), text(hit, "shard"), text(hit, "text")});
    }
  }
  return query;
}

ReservationRecord read_reservation(const json::object& object) {
  return {read_exchange(object), text(object, "key"), text(object, "state"),
          text(object, "result")};
}

RunRecord read_run(const json::object& object) {
  RunRecord run;
  run.leaf = text(object, "leaf");
  run.reservation = text(object, "kind") == "reserve";
  run.call_id = text(object, "call_id");
  run.shard = text(object, "shard");
  run.snapshot = text(object, "snapshot");
  run.key = text(object, "key");
  run.body_hash = text(object, "body_hash");
  run.begin = instant(object, "begin_us");
  run.end = instant(object, "end_us");
  run.done = text(object, "done");
  return run;
}

HistoryRecord read_object(const json::object& object) {
  const std::string type = text(object, "type");
  if (type == "query") {
    return read_query(object);
  }
  if (type == "reservation") {
    return read_reservation(object);
  }
  if (type == "run") {
    return read_run(object);
  }
  if (type == "leaving" || type == "serving") {
    return LeafStateRecord{text(object, "leaf"), type == "leaving",
                           instant(object, "at_us")};
  }
  if (type == "accepted") {
    return AcceptedRecord{text(object, "change_id"),
                          number(object, "generation"),
                          instant(object, "at_us")};
  }
  if (type == "in_force") {
    return InForceRecord{text(object, "member"), digits(object, "incarnation"),
                         number(object, "generation"),
                         instant(object, "at_us")};
  }
  return OtherRecord{};
}

}  // namespace

Result<HistoryRecord> read_record(std::string_view line) {
  boost::system::error_code error;
  const json::value value = json::parse(line, error);
  if (error || !value.is_object()) {
    return fail(ErrorKind::kProtocolError, "no JSON object");
  }
  try {
    return read_object(value.as_object());
  } catch (const std::exception& problem) {
    return fail(ErrorKind::kProtocolError, problem.what());
  }
}

}  // namespace ibismux::history
