#include "tests/support/site.h"

#include <unistd.h>

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fstream>
#include <stdexcept>

#include "tests/support/http_call.h"
#include "tests/support/peer_cut.h"
#include "tests/support/temporary_file.h"

namespace ibismux::testing {

namespace {

namespace json = boost::json;

constexpr int kOk = 200;

http::Response answer_of(Result<http::Response> result) {
  if (!result) {
    throw std::runtime_error(to_string(result.error()));
  }
  return *std::move(result);
}

json::object object_of(const http::Response& response) {
  json::parse_options options;
  // The platform shows values as they are, and some are binary.
  options.allow_invalid_utf8 = true;
  return json::parse(response.body, {}, options).as_object();
}

std::string path_of(const std::string& object) {
  std::string path = "/v1/objects/" + object;
  path[path.find(':')] = '/';
  return path;
}

}  // namespace

Site::Site(PeerCut* cut, std::size_t zones)
    : cut(cut),
      zones(zones),
      platform_process("ibismux-fake-platform",
                       {"--port", std::to_string(this->platform_port.port())}),
      leafs("ibismux-fake-leaf",
            {"--leafs", std::to_string(kLeafs), "--threads", "1", "--history",
             history.name()}) {
  (void)this->platform_process.ready_line();
  (void)this->leafs.ready_line();
}

std::string Site::peer_address(std::size_t daemon) const {
  return this->cut != nullptr ? PeerCut::address_of(daemon) : "127.0.0.1";
}

std::string Site::zone(std::size_t i) const {
  return "z" + std::to_string(i % this->zones + 1);
}

Process Site::launch(std::size_t daemon) {
  const json::object settings = {
      {"member", "host-" + std::to_string(daemon + 1)},
      // A port that one daemon left may be a daemon's of another test, and of
      // the same name: to this cluster it is a stranger.
      {"cluster", "test-" + std::to_string(::getpid())},
      {"zone", this->zone(daemon)},
      {"threads", 2},
      {"stop", {{"limit_ms", this->stop_limit.count()}}},
      {"caller", {{"address", "127.0.0.1"}, {"port", 0}}},
      {"peer", {{"address", this->peer_address(daemon)}, {"port", 0}}},
      {"operator", {{"address", "127.0.0.1"}, {"port", 0}}},
      {"platform",
       {{"address", "127.0.0.1"}, {"port", this->platform_process.port()}}}};
  const TemporaryFile file(json::serialize(settings));
  if (this->cut != nullptr) {
    this->cut->prepare(daemon);
  }
  Process process(this->cut != nullptr ? "ibismuxd-cut" : "ibismuxd",
                  {"--settings", file.name()});
  (void)process.ready_line();
  return process;
}

std::size_t Site::start_daemon() {
  this->daemons.push_back(this->launch(this->daemons.size()));
  this->publish_host_list();
  return this->daemons.size() - 1;
}

void Site::replace_daemon(std::size_t daemon) {
  this->daemons[daemon].terminate();
  this->daemons[daemon] = this->launch(daemon);
  this->publish_host_list();
}

std::string Site::logs() const {
  std::string text;
  for (const Process& daemon : this->daemons) {
    text += "--- daemon\n" + daemon.log();
  }
  return text;
}

void Site::publish_host_list() {
  json::array hosts;
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    hosts.push_back(json::object{
        {"name", "host-" + std::to_string(i + 1)},
        {"peer_address", this->peer_address(i) + ":" +
                             std::to_string(this->daemons[i].port("peer"))},
        {"zone", this->zone(i)},
        {"leaving", false}});
  }
  (void)answer_of(http_call(this->platform_process.port(), "PUT", "/fake/hosts",
                            json::serialize(json::object{{"hosts", hosts}})));
}

void Site::platform_faults(const std::string& change) {
  const auto answer = answer_of(
      http_call(this->platform_process.port(), "PUT", "/fake/faults", change));
  if (answer.status != kOk) {
    throw std::runtime_error(answer.body);
  }
}

json::object Site::platform_stats() {
  return object_of(answer_of(
      http_call(this->platform_process.port(), "GET", "/fake/stats")));
}

std::size_t Site::platform_object_count(const std::string& collection) {
  const auto answer = answer_of(http_call(this->platform_process.port(), "GET",
                                          "/v1/objects/" + collection));
  return object_of(answer).at("objects").as_array().size();
}

void Site::leaf_config(const std::string& change, const std::string& leaf) {
  const auto answer = answer_of(http_call(this->leafs.port("control"), "PUT",
                                          "/fake/leafs/" + leaf, change));
  if (answer.status != kOk) {
    throw std::runtime_error(answer.body);
  }
}

const std::string& Site::leaf_history() {
  (void)answer_of(
      http_call(this->leafs.port("control"), "POST", "/fake/flush"));
  return this->history.name();
}

std::size_t Site::running_calls() {
  const json::object leafs = object_of(
      answer_of(http_call(this->leafs.port("control"), "GET", "/fake/stats")));
  std::size_t running = 0;
  for (const auto& [leaf, stats] : leafs) {
    running += stats.at("running").to_number<std::size_t>();
  }
  return running;
}

std::map<std::string, std::size_t> Site::reservation_runs() {
  std::map<std::string, std::size_t> runs;
  std::ifstream file(this->leaf_history());
  for (std::string line; std::getline(file, line);) {
    const json::value row = json::parse(line);
    if (row.at("kind").as_string() == "reserve") {
      ++runs[std::string(row.at("key").as_string())];
    }
  }
  return runs;
}

http::Response Site::operate(std::size_t daemon,
                             const std::string& method,
                             const std::string& target,
                             const std::string& body) {
  return answer_of(http_call(this->daemons[daemon].port("operator"), method,
                             target, body, {{"X-Operator", "test"}}));
}

http::Response Site::declare(std::size_t daemon,
                             const std::string& object,
                             const std::string& spec) {
  return this->operate(daemon, "PUT", path_of(object),
                       "{\"spec\":" + spec + "}");
}

bool Site::declare_service(std::size_t daemon) {
  const json::object& ports = this->leafs.ready_line().at("leafs").as_object();
  std::size_t number = 0;
  for (const auto& [leaf, port] : ports) {
    this->declare(
        daemon, "backend_server:" + std::string(leaf),
        json::serialize(json::object{{"address", "127.0.0.1"},
                                     {"port", port},
                                     {"zone", this->zone(number++)}}));
  }
  constexpr std::uint32_t kEnds[] = {0, 20'000, 40'000, 65'536};
  for (int i = 1; i <= 3; ++i) {
    this->declare(
        daemon, "shard:s" + std::to_string(i),
        json::serialize(json::object{
            {"service", "manuals"},
            {"begin", kEnds[i - 1]},
            {"end", kEnds[i]},
            {"replicas", json::array{"leaf-1", "leaf-2", "leaf-3"}}}));
  }
  this->declare(daemon, "query_service:manuals", R"({"deadline_ms":5000})");
  this->declare(
      daemon, "snapshot:v1",
      R"({"service":"manuals","sequence":1,"shards":["s1","s2","s3"]})");
  bool everywhere = true;
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    everywhere =
        everywhere && this->wait_for_state(i, "snapshot:v1", "accepted");
  }
  return everywhere;
}

json::object Site::status(std::size_t daemon) {
  return object_of(this->operate(daemon, "GET", "/v1/status"));
}

std::uint64_t Site::generation(std::size_t daemon) {
  return this->status(daemon)
      .at("release")
      .at("generation")
      .to_number<std::uint64_t>();
}

std::size_t Site::alive(std::size_t daemon) {
  const json::object status = this->status(daemon);
  const json::array& members = status.at("members").as_array();
  return std::count_if(members.begin(), members.end(), [](const auto& member) {
    return member.at("state").as_string() == "alive";
  });
}

std::string Site::state(std::size_t daemon, const std::string& object) {
  const auto answer = this->operate(daemon, "GET", path_of(object) + "/status");
  const json::object body = object_of(answer);
  const json::value* status = body.if_contains("status");
  return status != nullptr ? std::string(status->at("state").as_string())
                           : answer.body;
}

std::size_t Site::reached(std::size_t daemon, const std::string& object) {
  const auto answer = this->operate(daemon, "GET", path_of(object) + "/status");
  const json::value body = object_of(answer);
  boost::system::error_code none;
  const json::value* count =
      body.find_pointer("/status/in_force/reached", none);
  return count != nullptr ? count->to_number<std::size_t>() : 0;
}

std::int64_t Site::deadline_ms(std::size_t daemon, const std::string& service) {
  const auto answer = this->operate(daemon, "GET", "/v1/objects/query_service");
  const json::object body = object_of(answer);
  for (const json::value& object : body.at("objects").as_array()) {
    if (object.at("name").as_string() == service) {
      return object.at("spec").at("deadline_ms").to_number<std::int64_t>();
    }
  }
  return 0;
}

bool Site::wait_for_deadline(std::size_t daemon,
                             const std::string& service,
                             std::int64_t deadline_ms) {
  return wait_until(
      [&] { return this->deadline_ms(daemon, service) == deadline_ms; });
}

bool Site::wait_for_state(std::size_t daemon,
                          const std::string& object,
                          std::string_view state) {
  return wait_until([&] { return this->state(daemon, object) == state; });
}

bool Site::wait_for_generation(std::size_t daemon, std::uint64_t generation) {
  return wait_until([&] { return this->generation(daemon) >= generation; });
}

bool Site::wait_until_ready(std::size_t daemon) {
  return wait_until(
      [&] { return this->operate(daemon, "GET", "/readyz").status == kOk; });
}

http::Response Site::call(
    std::size_t daemon,
    const std::string& target,
    const std::string& body,
    std::vector<std::pair<std::string, std::string>> fields) {
  return answer_of(http_call(this->daemons[daemon].port("caller"), "POST",
                             target, body, std::move(fields)));
}

bool Site::answers_in_full(std::size_t daemon) {
  const auto answer =
      this->call(daemon, "/v1/services/manuals/query", "torque");
  if (answer.status != kOk) {
    return false;
  }
  const json::object body = object_of(answer);
  return body.at("coverage").at("contributed").as_array().size() == 3;
}

}  // namespace ibismux::testing
