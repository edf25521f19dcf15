#include "standins/platform/service.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>

namespace fake_platform {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::size_t kMostValueBytes = 1024 * 1024;
constexpr std::size_t kMostNameBytes = 200;
constexpr std::chrono::milliseconds kLongestWatch{300'000};

Reply reply(int status, const json::object& body) {
  return {status, json::serialize(body), std::nullopt};
}

Reply error(int status, std::string_view text) {
  return reply(status, {{"error", text}});
}

Reply version_reply(int status, Version version) {
  return reply(status, {{"version", version}});
}

/// A version with or without quotes.
std::optional<Version> version_in(std::string_view text) {
  if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
    text = text.substr(1, text.size() - 2);
  }
  Version version = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), version);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return version;
}

std::optional<Version> number_in(const Call& call, const std::string& name) {
  const auto found = call.parameters.find(name);
  return found == call.parameters.end() ? std::nullopt
                                        : version_in(found->second);
}

std::optional<json::object> object_in(const std::string& body) {
  boost::system::error_code problem;
  json::value value = json::parse(body, problem);
  if (problem || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.get_object());
}

std::optional<Kind> kind_of(const Call& call) {
  const auto& path = call.path;
  if (path.size() < 2 || path[0] != "v1") {
    return std::nullopt;
  }
  const bool get = call.method == "GET";
  if (path[1] == "objects" && path.size() == 4) {
    const bool write = call.method == "PUT" || call.method == "DELETE";
    return write ? std::optional(Kind::kWrite)
                 : (get ? std::optional(Kind::kRead) : std::nullopt);
  }
  if (!get) {
    return std::nullopt;
  }
  if (path[1] == "watch" && path.size() == 3) {
    return Kind::kWatch;
  }
  const bool read = (path[1] == "objects" && path.size() == 3) ||
                    (path[1] == "hosts" && path.size() == 2);
  return read ? std::optional(Kind::kRead) : std::nullopt;
}

}  // namespace

Service::Service(asio::io_context& loop,
                 Store store,
                 Stats stats,
                 Faults faults,
                 std::uint64_t seed)
    : loop(loop),
      store(std::move(store)),
      stats(std::move(stats)),
      faults(faults),
      dice(seed) {
  this->host_lists.push_back({Clock::now(), {}});
}

asio::awaitable<Reply> Service::handle(Call call) {
  if (!call.path.empty() && call.path[0] == "fake") {
    co_return this->control(call);
  }
  const auto kind = kind_of(call);
  if (!kind) {
    co_return error(400, "no such call");
  }
  Reply answer = co_await this->serve(std::move(call), *kind);
  this->stats.answered(*kind, answer.cut ? 0 : answer.status);
  co_return answer;
}

asio::awaitable<Reply> Service::serve(Call call, Kind kind) {
  if (!this->stats.admit(kind, Clock::now())) {
    co_return error(429, "rate cap");
  }
  while (this->faults.hang ||
         (this->faults.hang_writes && kind == Kind::kWrite)) {
    co_await this->wait_for_news(Clock::time_point::max());
  }
  const auto latency =
      this->faults.latency + this->dice.up_to(this->faults.latency_spread);
  co_await this->pause(latency / 2);
  if (this->is_out(kind, call.path[1] == "hosts")) {
    co_return error(503, "outage");
  }
  Reply answer;
  if (kind == Kind::kWatch) {
    answer = co_await this->watch(std::move(call));
  } else {
    answer = kind == Kind::kWrite ? this->write(call) : this->read(call);
  }
  co_await this->pause(latency - latency / 2);
  co_return answer;
}

asio::awaitable<Reply> Service::watch(Call call) {
  const auto since = number_in(call, "since");
  const auto wait = number_in(call, "wait_ms");
  if (!since || !wait || *wait > static_cast<Version>(kLongestWatch.count())) {
    co_return error(400, "since or wait_ms");
  }
  const std::string& collection = call.path[2];
  const auto limit = Clock::now() + std::chrono::milliseconds(*wait);
  this->stats.watch_begins();
  while (
      Clock::now() < limit && this->store.reaches(*since) &&
      (this->faults.silent_watch || !this->store.changed(collection, *since)) &&
      !this->is_out(Kind::kWatch, false)) {
    co_await this->wait_for_news(limit);
  }
  this->stats.watch_ends();
  if (this->is_out(Kind::kWatch, false)) {
    co_return error(503, "outage");
  }
  co_return this->changes(collection, *since);
}

bool Service::is_out(Kind kind, bool host_list) const {
  return this->faults.outage || (this->faults.store_outage && !host_list) ||
         (this->faults.fail_reads && kind != Kind::kWrite);
}

asio::awaitable<void> Service::pause(std::chrono::milliseconds time) {
  if (time.count() > 0) {
    asio::steady_timer timer(this->loop, time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

asio::awaitable<void> Service::wait_for_news(Clock::time_point limit) {
  asio::steady_timer timer(this->loop, limit);
  this->waiters.insert(&timer);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  this->waiters.erase(&timer);
}

void Service::tell_news() {
  for (asio::steady_timer* timer : this->waiters) {
    timer->cancel();
  }
}

Reply Service::changes(const std::string& collection, Version since) const {
  if (this->faults.silent_watch) {
    return reply(200, {{"version", since}, {"events", json::array()}});
  }
  if (!this->store.reaches(since)) {
    return error(410, "history is gone");
  }
  json::array events;
  const Version from = this->faults.old_events ? 0 : since;
  for (const Change& change : this->store.changes()) {
    if (change.version <= from || change.collection != collection) {
      continue;
    }
    json::object event = {{"name", change.name},
                          {"version", change.version},
                          {"removed", change.removed}};
    if (!change.removed) {
      event["value"] = change.value;
    }
    events.push_back(std::move(event));
  }
  return reply(
      200, {{"version", this->store.version()}, {"events", std::move(events)}});
}

Reply Service::read(const Call& call) {
  if (call.path[1] == "hosts") {
    return this->hosts();
  }
  if (call.path.size() == 3) {
    return this->list(call.path[2]);
  }
  const auto object = this->store.get(call.path[2], call.path[3]);
  if (object.version == 0) {
    return error(404, "no such object");
  }
  return {200, object.value, object.version};
}

Reply Service::list(const std::string& collection) {
  json::array rows;
  for (const auto& [name, object] : this->store.list(collection)) {
    rows.push_back(json::object{
        {"name", name}, {"version", object.version}, {"value", object.value}});
  }
  return reply(
      200, {{"version", this->store.version()}, {"objects", std::move(rows)}});
}

Reply Service::hosts() {
  while (this->host_lists.size() > 1 &&
         this->host_lists[1].shown_at <= Clock::now()) {
    this->host_lists.pop_front();
  }
  return reply(200, {{"hosts", this->host_lists.front().hosts}});
}

Reply Service::write(const Call& call) {
  const bool put = call.method == "PUT";
  const bool fresh = put && call.if_none_match == "*";
  const auto expected =
      call.if_match ? version_in(*call.if_match) : std::optional<Version>(0);
  if (!expected || call.if_match.has_value() == fresh) {
    return error(400, "one of If-Match and If-None-Match: *");
  }
  if (call.body.size() > kMostValueBytes) {
    return error(413, "value over 1 MB");
  }
  if (call.path[3].empty() || call.path[3].size() > kMostNameBytes) {
    return error(400, "name");
  }
  if (this->dice.hit(this->faults.lose_requests)) {
    return {.cut = true};
  }
  const Version current = this->store.get(call.path[2], call.path[3]).version;
  if (!put && current == 0) {
    return error(404, "no such object");
  }
  if (current != *expected || (call.if_match && current == 0)) {
    return version_reply(412, current);
  }
  Reply answer = version_reply(
      200, this->store.write({call.path[2], call.path[3], 0, call.body, !put}));
  answer.cut = this->dice.hit(this->faults.lose_answers);
  this->tell_news();
  return answer;
}

Reply Service::control(const Call& call) {
  struct Route {
    std::string_view method;
    std::string_view name;
    Action action;
  };
  static constexpr Route kRoutes[] = {
      {"PUT", "faults", &Service::put_faults},
      {"PUT", "hosts", &Service::put_hosts},
      {"PUT", "compact", &Service::put_compact},
      {"GET", "stats", &Service::get_stats},
  };
  for (const Route& route : kRoutes) {
    if (call.path.size() == 2 && call.path[1] == route.name &&
        call.method == route.method) {
      return (this->*route.action)(call);
    }
  }
  return error(404, "no such call below /fake/");
}

Reply Service::put_faults(const Call& call) {
  const auto change = object_in(call.body);
  if (!change) {
    return error(400, "no JSON object");
  }
  const std::string problem = this->faults.apply(*change);
  if (!problem.empty()) {
    return error(400, problem);
  }
  if (const json::value* seed = change->if_contains("seed")) {
    this->dice.seed(seed->to_number<std::uint64_t>());
  }
  this->tell_news();
  return reply(200, this->faults.to_json());
}

Reply Service::put_hosts(const Call& call) {
  auto body = object_in(call.body);
  json::value* rows = body ? body->if_contains("hosts") : nullptr;
  if (rows == nullptr || !rows->is_array()) {
    return error(400, "no hosts");
  }
  this->host_lists.push_back(
      {Clock::now() + this->faults.host_lag, std::move(rows->get_array())});
  return reply(200, {});
}

Reply Service::put_compact(const Call&) {
  this->store.forget_history();
  this->tell_news();
  return version_reply(200, this->store.version());
}

Reply Service::get_stats(const Call&) {
  json::object stats = this->stats.to_json();
  stats["version"] = this->store.version();
  return reply(200, stats);
}

}  // namespace fake_platform
