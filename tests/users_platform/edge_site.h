#ifndef TESTS_USERS_PLATFORM_EDGE_SITE_H_
#define TESTS_USERS_PLATFORM_EDGE_SITE_H_

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "tests/support/http_call.h"
#include "tests/support/process.h"
#include "tests/support/temporary_file.h"

namespace ibismux::testing {

/// A route `/NAME/` to the service "desk". @param more Further members.
inline std::string desk_route(const std::string& name,
                              const std::string& more = {}) {
  return R"({"Name":")" + name +
         R"(","Host":"search.example","PathPrefix":"/)" + name +
         R"(/","Type":"idempotent","TimeoutMs":1000,"TargetLatencyMs":200,)" +
         R"("Service":"desk")" + more + "}";
}

/// A configuration with `routes`, separated by commas.
inline std::string configuration(int version, const std::string& routes) {
  return R"({"Version":)" + std::to_string(version) + R"(,"Routes":[)" +
         routes +
         R"(],"Services":[],"Limits":{"MaxHeaderBytes":16384,)"
         R"("MaxBodyBytes":262144,"HeaderTimeoutMs":3000,)"
         R"("IdleTimeoutMs":15000}})";
}

/// The stand-ins for the users' platform and some edge daemons, as processes.
/// Every wait is on a state that a process reports. Not thread safe.
class EdgeSite {
 public:
  /// @param leave_notice How long a daemon that stops takes new connections.
  /// @param stop_limit How long a daemon that stops may take.
  /// @param replicas Leafs of each service.
  explicit EdgeSite(
      std::size_t daemons = 1,
      std::chrono::milliseconds leave_notice = std::chrono::milliseconds(200),
      std::chrono::seconds stop_limit = std::chrono::seconds(9),
      std::size_t replicas = 3)
      : leave_notice(leave_notice),
        stop_limit(stop_limit),
        platform("ibismux-users-platform",
                 {"--shards", "3", "--replicas", std::to_string(replicas)}) {
    for (std::size_t i = 0; i < daemons; ++i) {
      this->start_daemon();
    }
  }

  /// @param more Further members of the settings, each after a comma.
  /// @param program The daemon, or a variant of it.
  void start_daemon(const std::string& more = {},
                    const std::string& program = "ibismux-edge") {
    const std::string number = std::to_string(this->daemons.size() + 1);
    this->settings.emplace_back(
        "{\"member\":\"h" + number + "\",\"zone\":\"z" + number +
        "\",\"zone_regions\":{\"z1\":\"north\",\"z2\":\"south\",\"z3\":"
        "\"south\"},\"caller\":{\"endpoint\":\"127.0.0.1:0\"},"
        "\"ready\":{\"endpoint\":\"127.0.0.1:0\"},"
        "\"metrics\":{\"endpoint\":\"127.0.0.1:0\"},"
        "\"fleet\":{\"endpoint\":\"127.0.0.1:0\"},\"store\":{\"endpoint\":"
        "\"127.0.0.1:" +
        std::to_string(this->platform.port("store")) +
        "\"},\"stop\":{\"limit_s\":" +
        std::to_string(this->stop_limit.count()) + ",\"leave_notice_ms\":" +
        std::to_string(this->leave_notice.count()) + "}" + more + "}");
    this->daemons.emplace_back(
        program,
        std::vector<std::string>{"--settings", this->settings.back().name()});
  }

  [[nodiscard]] Process& daemon(std::size_t i = 0) { return this->daemons[i]; }

  http::Response ready(std::size_t i = 0) {
    return http_call(this->daemon(i).port("ready_port"), "GET", "/readyz")
        .value();
  }
  bool wait_until_ready(std::size_t i = 0) {
    return wait_until([this, i] { return this->ready(i).status == 200; });
  }

  bool wait_until_all_ready() {
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
      if (!this->wait_until_ready(i)) {
        return false;
      }
    }
    return true;
  }

  /// From here on a request of `target` ends each leaf that runs it.
  void let_requests_end_leafs(const std::string& target) {
    for (const char* service : {"s1", "s2", "s3", "desk"}) {
      this->fake("PUT", "leafs",
                 std::string(R"({"service":")") + service +
                     R"(","crash_on":")" + target + "\"}");
    }
  }

  Result<http::Response> call(const std::string& id,
                              const std::string& path,
                              const std::string& method = "GET",
                              const std::string& body = {},
                              int deadline_ms = 5000,
                              std::size_t i = 0) {
    return http_call(this->daemon(i).port("caller_port"), method, path, body,
                     {{"Host", "search.example"},
                      {"X-Request-Id", id},
                      {"X-Deadline-Ms", std::to_string(deadline_ms)}});
  }

  /// A query with these credentials, which names another customer.
  Result<http::Response> call_with_key(const std::string& id,
                                       const std::string& credentials,
                                       std::size_t i = 0) {
    return http_call(this->daemon(i).port("caller_port"), "GET", "/query/1", {},
                     {{"Host", "search.example"},
                      {"X-Request-Id", id},
                      {"X-Deadline-Ms", "5000"},
                      {"X-Tenant-Id", "another"},
                      {"Authorization", credentials}});
  }

  /// A switch of the stand-ins.
  boost::json::object fake(const std::string& method,
                           const std::string& what,
                           const std::string& body = {}) {
    const auto answer = http_call(this->platform.port("control"), method,
                                  "/fake/" + what, body);
    return boost::json::parse(answer.value().body).as_object();
  }

  /// How often request `id` was run by leafs of `service`.
  int runs(const std::string& service, const std::string& id) {
    const auto all = this->fake("GET", "runs");
    const auto& row = all.at(service).as_object();
    const auto* found = row.if_contains(id);
    return found ? static_cast<int>(found->as_int64()) : 0;
  }

  /// Whether request `id` was run by any leaf of the shards.
  bool reached_shards(const std::string& id) {
    return this->runs("s1", id) + this->runs("s2", id) + this->runs("s3", id) >
           0;
  }

  /// The customers that leafs ran request `id` for.
  std::vector<std::string> customers_of(const std::string& id) {
    const auto all = this->fake("GET", "customers");
    const auto* found = all.at("requests").as_object().if_contains(id);
    std::vector<std::string> names;
    if (found) {
      for (const auto& name : found->as_array()) {
        names.emplace_back(name.as_string());
      }
    }
    return names;
  }

  std::string metrics(std::size_t i = 0) {
    return http_call(this->daemon(i).port("metrics_port"), "GET", "/metrics")
        .value()
        .body;
  }

 private:
  const std::chrono::milliseconds leave_notice;
  const std::chrono::seconds stop_limit;
  Process platform;
  std::deque<TemporaryFile> settings;
  std::deque<Process> daemons;
};

}  // namespace ibismux::testing

#endif  // TESTS_USERS_PLATFORM_EDGE_SITE_H_
