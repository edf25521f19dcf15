#include "ibismux/operator/operator_api.h"

#include <glog/logging.h>
#include <prometheus/registry.h>

#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <string>

#include "ibismux/release/housekeeping.h"
#include "ibismux/release/release_writer.h"
#include "tests/operator/run_task.h"
#include "tests/support/memory_object_store.h"

#include <criterion/criterion.h>

namespace ibismux::operators {
namespace {

using ibismux::testing::MemoryObjectStore;
using testing::run;

constexpr std::chrono::milliseconds kTimeout{1000};

/// An API over a store in memory, with a publisher that works when told to.
struct Fixture {
  Fixture() : api(this->make_ports()) {
    FLAGS_minloglevel = google::GLOG_ERROR;
  }

  OperatorPorts make_ports() {
    OperatorPorts ports{.store = this->store,
                        .releases = this->releases,
                        .registry = this->registry};
    ports.self = {"one", 7};
    ports.written = [this](const release::ObjectKey&, store::Version v) {
      this->nudged = v;
    };
    ports.in_force = [this](Generation) { return this->in_force; };
    ports.not_ready_because = [this] { return this->not_ready; };
    ports.drain = [this] { this->drained = true; };
    ports.sections = {{"peers", [] { return boost::json::value(3); }}};
    return ports;
  }

  http::Response call(
      const std::string& method,
      const std::string& target,
      const std::string& body = "",
      std::vector<std::pair<std::string, std::string>> fields = {}) {
    auto request = std::make_shared<http::Request>();
    request->method = method;
    request->target = target;
    request->body = body;
    for (char& c : request->body) {
      c = c == '\'' ? '"' : c;
    }
    request->fields = std::move(fields);
    return run(
        this->api.handler()(request, std::make_shared<http::CancelToken>()));
  }

  boost::json::value json(const std::string& target) {
    return boost::json::parse(this->call("GET", target).body);
  }

  void publish() {
    const auto listing = run(this->store.list("objects", Clock::now()));
    this->mirror.reset(*listing);
    cr_assert(run(this->writer.publish(this->mirror.view(), 0)).has_value());
    cr_assert(run(this->housekeeping.run(this->mirror.view())).has_value());
  }

  MemoryObjectStore store;
  release::ReleaseStore releases;
  prometheus::Registry registry;
  release::PublisherMetrics metrics{registry};
  release::ReleaseWriter writer{store,    releases,
                                metrics,  "one",
                                kTimeout, std::chrono::system_clock::now};
  release::Housekeeping housekeeping{store, releases, metrics, kTimeout, 8};
  release::ObjectMirror mirror;
  store::Version nudged = 0;
  InForce in_force{5, 7};
  std::string not_ready;
  bool drained = false;
  OperatorApi api;
};

constexpr const char* kLimitPath = "/v1/objects/limit_policy/l";

Test(operator_api, puts_gets_and_deletes_an_object) {
  Fixture test;
  const auto put = test.call("PUT", kLimitPath, "{'spec':{'concurrency':4}}",
                             {{"X-Operator", "ana"}});
  cr_assert(put.status == 201 && put.field("ETag") == "1" && test.nudged == 1);
  cr_assert(test.json(kLimitPath).at("status").at("state") == "pending");
  test.publish();
  const auto got = test.json(kLimitPath);
  cr_assert(got.at("operator") == "ana" && got.at("version") == 1);
  cr_assert(got.at("spec").at("concurrency") == 4);
  cr_assert(got.at("status").at("state") == "accepted");
  cr_assert(got.at("status").at("in_force").at("reached") == 5);
  const auto deleted = test.call("DELETE", kLimitPath, "", {{"If-Match", "1"}});
  cr_assert(deleted.status == 200);
  cr_assert(test.call("GET", kLimitPath).status == 404);
  test.publish();
  cr_assert(
      test.json(std::string(kLimitPath) + "/status").at("status").at("state") ==
      "absent");
}

Test(operator_api, answers_a_conflict_with_the_current_version) {
  Fixture test;
  (void)test.call("PUT", kLimitPath, "{'spec':{'concurrency':1}}");
  (void)test.call("PUT", kLimitPath, "{'spec':{'concurrency':2}}");
  const auto late = test.call("PUT", kLimitPath, "{'spec':{'concurrency':3}}",
                              {{"If-Match", "1"}});
  cr_assert(late.status == 409);
  cr_assert(boost::json::parse(late.body).at("version") == 2);
}

Test(operator_api, refuses_bad_requests_in_one_line) {
  Fixture test;
  const auto message = [&test](const http::Response& response) {
    return std::string(
        boost::json::parse(response.body).at("message").as_string());
  };
  const auto bad = test.call("PUT", kLimitPath, "{'spec':{'concurrency':-1}}");
  cr_assert(bad.status == 400);
  cr_assert(message(bad) ==
            "limit_policy/l: spec: concurrency must be a whole number from 0 "
            "to 1000000");
  cr_assert(test.call("PUT", kLimitPath, "{").status == 400);
  cr_assert(test.call("PUT", "/v1/objects/nothing/l", "{}").status == 400);
  cr_assert(test.call("POST", kLimitPath).status == 400);
  cr_assert(test.call("GET", "/v2").status == 404);
  cr_assert(test.call("GET", "/v1/watch?wait_ms=x").status == 400);
  cr_assert(
      test.call("PUT", kLimitPath, "{'spec':{}}", {{"If-Match", "x"}}).status ==
      400);
  cr_assert(test.store.writes() == 0);
}

Test(operator_api, tells_in_a_dry_run_what_would_become_of_objects) {
  Fixture test;
  const auto lone = test.call("PUT", "/v1/objects/shard/s?dry_run=1",
                              "{'spec':{'service':'bays','replicas':['a']}}");
  const auto verdict = boost::json::parse(lone.body);
  cr_assert(verdict.at("valid") == false);
  cr_assert(verdict.at("objects").at(0).at("reason") ==
            "shard/s: spec.service names query_service/bays, which does not "
            "exist");
  const auto set = test.call(
      "POST", "/v1/validate",
      "{'objects':[{'kind':'shard','name':'s','spec':{'service':'bays',"
      "'replicas':['a']}},{'kind':'query_service','name':'bays','spec':{}},"
      "{'kind':'backend_server','name':'a','spec':{'address':'10.0.0.1',"
      "'port':1,'zone':'z'}}]}");
  cr_assert(boost::json::parse(set.body).at("valid") == true);
  cr_assert(test.store.writes() == 0);
}

Test(operator_api, shows_rejections_in_status_lists_and_watches) {
  Fixture test;
  (void)test.call("PUT", "/v1/objects/shard/s",
                  "{'spec':{'service':'bays','replicas':['a']}}");
  test.publish();
  const auto status =
      test.json("/v1/objects/shard/s/status?version=1&wait_ms=60000");
  cr_assert(status.at("status").at("state") == "rejected");
  cr_assert(test.json("/v1/objects/shard").at("rejected").as_array().size() ==
            1);
  const auto watch = test.json("/v1/watch?since=0&wait_ms=60000");
  cr_assert(watch.at("events").at(0).at("state") == "rejected");
  cr_assert(watch.at("resync") == false);
  const auto whole = test.json("/v1/status");
  cr_assert(whole.at("release").at("rejected").as_array().size() == 1);
  cr_assert(whole.at("peers") == 3);
}

Test(operator_api, shows_the_audit_trail_over_its_chunks) {
  Fixture test;
  for (int i = 1; i <= 140; ++i) {
    (void)test.call("PUT", "/v1/objects/limit_policy/l" + std::to_string(i),
                    "{'spec':{}}", {{"X-Operator", "ana"}});
  }
  test.publish();
  const auto page = test.json("/v1/audit?from=120&limit=20");
  cr_assert(page.at("newest") == 140);
  cr_assert(page.at("changes").as_array().size() == 20);
  cr_assert(page.at("changes").at(0).at("sequence") == 120);
  cr_assert(page.at("changes").at(0).at("operator") == "ana");
  cr_assert(test.json("/v1/audit").at("from") == 41);
}

// Failure: nothing can be read while the platform is away.
Test(operator_api, answers_from_the_release_in_an_outage) {
  Fixture test;
  (void)test.call("PUT", kLimitPath, "{'spec':{'concurrency':4}}");
  test.publish();
  test.store.set_outage(true);
  const auto got = test.json(kLimitPath);
  cr_assert(got.at("from_release") == true);
  cr_assert(got.at("spec").at("concurrency") == 4);
  cr_assert(test.call("GET", "/v1/objects").status == 200);
  const auto put = test.call("PUT", kLimitPath, "{'spec':{}}");
  cr_assert(put.status == 503);
  cr_assert(boost::json::parse(put.body).at("execution") == "not_run");
}

Test(operator_api, answers_probes_metrics_and_drain) {
  Fixture test;
  cr_assert(test.call("GET", "/healthz").status == 200);
  cr_assert(test.call("GET", "/readyz").status == 200);
  test.not_ready = "no release yet";
  cr_assert(test.call("GET", "/readyz").status == 503);
  cr_assert(test.call("GET", "/metrics").body.find("ibismux_release_") !=
            std::string::npos);
  cr_assert(test.call("POST", "/v1/drain").status == 202 && test.drained);
}

}  // namespace
}  // namespace ibismux::operators
