#include "ibismux/release/spec_reader.h"

#include <array>
#include <boost/asio/ip/address.hpp>
#include <boost/json/value.hpp>
#include <utility>

namespace ibismux::release {
namespace {

constexpr std::size_t kMostLimits = 16;
constexpr std::size_t kMostReplicas = 64;
constexpr std::size_t kMostRates = 8;
constexpr std::uint32_t kMostSlots = 4096;
constexpr std::uint32_t kMostConnections = 65535;
constexpr std::uint32_t kMostConcurrency = 1'000'000;
constexpr std::uint32_t kMostRate = 1'000'000'000;
// What JSON readers that know only doubles can still tell apart.
constexpr std::uint64_t kMostSequence = (std::uint64_t{1} << 53) - 1;

void read_priority(FieldReader& reader, Priority& target) {
  const boost::json::value* value =
      reader.take("priority", FieldReader::kOptional);
  if (value == nullptr) {
    return;
  }
  const std::optional<Priority> priority =
      value->is_string() ? priority_of(value->get_string()) : std::nullopt;
  if (!priority) {
    reader.refuse("priority",
                  "one of \"diagnostic\", \"bench\", \"catalogue\", "
                  "\"editor\"");
    return;
  }
  target = *priority;
}

ObjectSpec read_query_service(const std::string& name, FieldReader& reader) {
  QueryService spec;
  spec.name = name;
  read_priority(reader, spec.priority);
  reader.millis("deadline_ms", spec.deadline);
  reader.millis("answer_by_ms", spec.answer_by);
  reader.number("min_coverage", spec.min_coverage, 0, 1);
  reader.number("hedge_quantile", spec.hedge_quantile, 0.5, 0.999);
  reader.number("hedge_budget", spec.hedge_budget, 0, 1);
  reader.names("limits", spec.limits, FieldReader::kOptional);
  if (spec.answer_by && *spec.answer_by > spec.deadline) {
    reader.refuse(
        "answer_by_ms",
        "at most deadline_ms (" + std::to_string(spec.deadline.count()) + ")");
  }
  if (spec.limits.size() > kMostLimits) {
    reader.refuse("limits", "an array of at most 16 names");
  }
  return spec;
}

ObjectSpec read_shard(const std::string& name, FieldReader& reader) {
  Shard spec;
  spec.name = name;
  reader.name("service", spec.service, FieldReader::kRequired);
  reader.integer<std::uint32_t>("begin", spec.begin, 0, kKeySpace - 1);
  reader.integer<std::uint32_t>("end", spec.end, 1, kKeySpace);
  reader.names("replicas", spec.replicas, FieldReader::kRequired);
  if (spec.begin >= spec.end) {
    reader.refuse("end",
                  "greater than begin (" + std::to_string(spec.begin) + ")");
  }
  if (spec.replicas.empty() || spec.replicas.size() > kMostReplicas) {
    reader.refuse("replicas", "an array of 1 to 64 names");
  }
  return spec;
}

void read_address(FieldReader& reader, std::string& target) {
  reader.text("address", target, FieldReader::kRequired);
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(target, error);
  if (error || address.is_unspecified() || address.is_multicast()) {
    reader.refuse("address", "the IP number of one host, such as 10.0.0.7");
    return;
  }
  // One spelling a address, so that two objects with the same one show.
  target = address.to_string();
}

ObjectSpec read_backend_server(const std::string& name, FieldReader& reader) {
  BackendServer spec;
  spec.name = name;
  read_address(reader, spec.address);
  reader.integer<std::uint16_t>("port", spec.port, 1, 65535,
                                FieldReader::kRequired);
  reader.name("zone", spec.zone, FieldReader::kRequired);
  reader.integer<std::uint32_t>("slots", spec.slots, 1, kMostSlots);
  reader.integer<std::uint32_t>("connections", spec.connections, 1,
                                kMostConnections);
  reader.millis("connect_cost_ms", spec.connect_cost);
  reader.flag("leaving", spec.leaving);
  return spec;
}

ObjectSpec read_snapshot(const std::string& name, FieldReader& reader) {
  Snapshot spec;
  spec.name = name;
  reader.name("service", spec.service, FieldReader::kRequired);
  reader.integer<std::uint64_t>("sequence", spec.sequence, 1, kMostSequence,
                                FieldReader::kRequired);
  reader.names("shards", spec.shards, FieldReader::kRequired);
  reader.flag("servable", spec.servable);
  if (spec.shards.empty()) {
    reader.refuse("shards", "an array of at least 1 name");
  }
  return spec;
}

void read_scope(FieldReader& reader, LimitPolicy::Scope& target) {
  const boost::json::value* value =
      reader.take("scope", FieldReader::kOptional);
  if (value == nullptr) {
    return;
  }
  if (value->is_string() && value->get_string() == "service") {
    target = LimitPolicy::Scope::kService;
  } else if (value->is_string() && value->get_string() == "caller") {
    target = LimitPolicy::Scope::kCaller;
  } else {
    reader.refuse("scope", "one of \"service\", \"caller\"");
  }
}

void read_rates(FieldReader& reader, std::vector<RateRule>& target) {
  const boost::json::value* value =
      reader.take("rates", FieldReader::kOptional);
  if (value == nullptr) {
    return;
  }
  if (!value->is_array() || value->get_array().size() > kMostRates) {
    reader.refuse("rates", "an array of at most 8 rules");
    return;
  }
  for (const boost::json::value& item : value->get_array()) {
    RateRule rule;
    if (!item.is_object()) {
      reader.refuse("rates", "an array of objects {\"limit\",\"window_ms\"}");
      return;
    }
    FieldReader fields(item.get_object(), "rates");
    fields.integer<std::uint32_t>("limit", rule.limit, 1, kMostRate,
                                  FieldReader::kRequired);
    fields.millis("window_ms", rule.window);
    if (const Result<void> done = fields.finish(); !done) {
      reader.refuse("rates", "valid (" + done.error().message + ")");
      return;
    }
    target.push_back(rule);
  }
}

ObjectSpec read_limit_policy(const std::string& name, FieldReader& reader) {
  LimitPolicy spec;
  spec.name = name;
  read_scope(reader, spec.scope);
  reader.integer<std::uint32_t>("concurrency", spec.concurrency, 0,
                                kMostConcurrency);
  read_rates(reader, spec.rates);
  return spec;
}

using SpecFunction = ObjectSpec (*)(const std::string&, FieldReader&);

/// In the order of `ObjectKind`.
constexpr std::array<SpecFunction, kObjectKinds> kReaders = {
    read_query_service, read_shard, read_backend_server, read_snapshot,
    read_limit_policy};

}  // namespace

ObjectSpec read_spec(const ObjectKey& key, FieldReader& reader) {
  return kReaders[static_cast<std::size_t>(key.kind)](key.name, reader);
}

}  // namespace ibismux::release
