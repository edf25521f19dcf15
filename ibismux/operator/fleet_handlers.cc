#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <boost/json/array.hpp>
#include <utility>

#include "ibismux/operator/handlers.h"
#include "ibismux/operator/request_fields.h"
#include "ibismux/operator/responses.h"
#include "ibismux/release/audit_trail.h"
#include "ibismux/release/release.h"
#include "ibismux/release/release_contents.h"

namespace ibismux::operators {
namespace {

namespace json = boost::json;

constexpr std::uint64_t kAuditPage = 100;
constexpr std::uint64_t kMostAuditPage = 1000;

/// Whether `head` still shows every change after generation `since`.
bool shows_all_since(const release::Head& head, Generation since) {
  if (head.recent.empty()) {
    return head.change_count == 0 || since >= head.generation;
  }
  const release::Change& oldest = head.recent.front();
  return oldest.sequence == 1 || oldest.generation <= since ||
         since >= head.generation;
}

http::Response text_response(int status, std::string text) {
  http::Response response;
  response.status = status;
  response.add("Content-Type", "text/plain; version=0.0.4");
  response.body = std::move(text);
  return response;
}

json::object service_json(const release::ServiceView& service) {
  json::array snapshots;
  for (const auto& snapshot : service.snapshots) {
    snapshots.push_back(json::object{{"name", snapshot->name},
                                     {"sequence", snapshot->sequence},
                                     {"shards", snapshot->shards.size()}});
  }
  return {{"priority", to_string(service.spec.priority)},
          {"snapshots", std::move(snapshots)}};
}

}  // namespace

json::object Handlers::events_since(Generation since) const {
  const auto contents = this->ports.releases.contents();
  const release::Head& head = contents->head;
  json::array events;
  for (const release::Change& change : head.recent) {
    if (change.generation > since) {
      json::object event = change_to_json(change);
      event["state"] = change.to_version == 0 ? "absent" : "accepted";
      events.push_back(std::move(event));
    }
  }
  for (const auto& [key, rejection] : contents->rejections) {
    if (rejection.generation > since) {
      events.push_back(json::object{{"object", to_string(key)},
                                    {"state", "rejected"},
                                    {"to_version", rejection.version},
                                    {"change_id", rejection.change_id},
                                    {"generation", rejection.generation},
                                    {"reason", rejection.reason}});
    }
  }
  return {{"generation", head.generation},
          {"in_force", in_force_json(this->ports.in_force(head.generation))},
          {"resync", !shows_all_since(head, since)},
          {"events", std::move(events)}};
}

Task<http::Response> Handlers::watch(Call call) {
  const Result<std::uint64_t> since =
      read_number(*call.request, "since", 0, INT64_MAX);
  // A watcher that says on how many daemons it knows the generation to be in
  // force hears when that changes, too.
  const Result<std::uint64_t> known =
      read_number(*call.request, "reached", INT64_MAX, INT64_MAX);
  const Result<std::chrono::milliseconds> wait = read_wait(*call.request);
  if (!since || !known || !wait) {
    co_return error_response(!since   ? since.error()
                             : !known ? known.error()
                                      : wait.error());
  }
  std::function<bool()> reached = [this, since = *since, known = *known] {
    const Generation generation = this->ports.releases.generation();
    return generation > since ||
           (known != INT64_MAX &&
            this->ports.in_force(generation).reached != known);
  };
  co_await poll(std::move(reached), call.client, *wait);
  co_return json_response(200, this->events_since(*since));
}

json::object Handlers::release_json() const {
  const auto contents = this->ports.releases.contents();
  json::object counts;
  for (const std::string_view kind : release::kObjectKindNames) {
    counts[kind] = 0;
  }
  for (const auto& [key, object] : contents->objects) {
    json::value& count = counts[to_string(key.kind)];
    count = count.as_int64() + 1;
  }
  json::array rejected;
  for (const auto& [key, rejection] : contents->rejections) {
    json::object out = key_json(key);
    out["reason"] = rejection.reason;
    rejected.push_back(std::move(out));
  }
  const Generation generation = contents->head.generation;
  return {{"generation", generation},
          {"publication", contents->head.publication},
          {"changes", contents->head.change_count},
          {"objects", std::move(counts)},
          {"rejected", std::move(rejected)},
          {"in_force", in_force_json(this->ports.in_force(generation))}};
}

Task<http::Response> Handlers::status(Call) {
  json::object services;
  const auto release = this->ports.releases.releases().read();
  for (const auto& [name, service] : release->services) {
    services[name] = service_json(*service);
  }
  const std::string reason = this->ports.not_ready_because();
  json::object out{{"member", this->ports.self.member},
                   {"incarnation", std::to_string(this->ports.self.number)},
                   {"ready", reason.empty()},
                   {"not_ready_because", reason},
                   {"release", this->release_json()},
                   {"services", std::move(services)}};
  for (const StatusSection& section : this->ports.sections) {
    out[section.name] = section.value();
  }
  co_return json_response(200, out);
}

Task<http::Response> Handlers::audit(Call call) {
  const auto contents = this->ports.releases.contents();
  const std::uint64_t newest = contents->head.change_count;
  const Result<std::uint64_t> limit =
      read_number(*call.request, "limit", kAuditPage, kMostAuditPage);
  if (!limit) {
    co_return error_response(limit.error());
  }
  const std::uint64_t last_page = newest > *limit ? newest - *limit + 1 : 1;
  const Result<std::uint64_t> from =
      read_number(*call.request, "from", last_page, INT64_MAX);
  if (!from) {
    co_return error_response(from.error());
  }
  const std::uint64_t first = std::max<std::uint64_t>(*from, 1);
  const std::uint64_t end = std::min(first + *limit, newest + 1);
  const Result<release::AuditEntries> entries =
      co_await this->audit_entries(first, end);
  if (!entries) {
    co_return error_response(entries.error());
  }
  json::array changes;
  for (auto it = entries->lower_bound(first);
       it != entries->end() && it->first < end; ++it) {
    changes.push_back(change_to_json(it->second));
  }
  co_return json_response(
      200,
      {{"newest", newest}, {"from", first}, {"changes", std::move(changes)}});
}

Task<Result<release::AuditEntries>> Handlers::audit_entries(std::uint64_t first,
                                                            std::uint64_t end) {
  // The newest changes may not be in the trail yet; the head shows them.
  release::AuditEntries entries;
  const auto contents = this->ports.releases.contents();
  for (const release::Change& change : contents->head.recent) {
    entries.emplace(change.sequence, change);
  }
  const std::uint64_t shown = entries.empty() ? end : entries.begin()->first;
  release::AuditTrail trail(this->ports.store, this->ports.platform_timeout);
  for (std::uint64_t next = first; next < std::min(end, shown);) {
    const Result<release::AuditEntries> chunk = co_await trail.read_chunk(next);
    if (!chunk) {
      co_return tl::unexpected<Error>(chunk.error());
    }
    entries.insert(chunk->begin(), chunk->end());
    next += release::kChangesPerAuditChunk -
            (next - 1) % release::kChangesPerAuditChunk;
  }
  co_return entries;
}

Task<http::Response> Handlers::drain(Call) {
  this->ports.drain();
  co_return json_response(202, {{"draining", true}});
}

Task<http::Response> Handlers::metrics(Call) {
  const prometheus::TextSerializer serializer;
  co_return text_response(200,
                          serializer.Serialize(this->ports.registry.Collect()));
}

Task<http::Response> Handlers::health(Call) {
  co_return text_response(200, "ok\n");
}

Task<http::Response> Handlers::ready(Call) {
  const std::string reason = this->ports.not_ready_because();
  co_return reason.empty() ? text_response(200, "ok\n")
                           : text_response(503, reason + "\n");
}

}  // namespace ibismux::operators
