#include "ibismux/caller/caller_api.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json/parse.hpp>
#include <map>
#include <optional>
#include <stdexcept>
#include <vector>

#include "ibismux/caller/caller_ports.h"

#include <criterion/criterion.h>

using namespace ibismux;
using namespace ibismux::caller;

namespace {

/// What stands behind the interface: the door and the engines, by script.
struct Backstage {
  std::optional<Error> refuse_at_door;
  std::optional<Error> fail_query;
  bool throw_in_query = false;
  bool ready = true;
  reservation::ReservationAnswer reservation;
  std::vector<std::optional<ErrorKind>> finished;
  int queries = 0;
};

Task<Result<query::QueryAnswer>> run_query(Backstage* stage,
                                           query::QueryRequest request) {
  stage->queries++;
  if (stage->throw_in_query) {
    throw std::runtime_error("broken");
  }
  if (stage->fail_query) {
    co_return tl::unexpected(*stage->fail_query);
  }
  query::QueryAnswer answer;
  answer.snapshot = request.service + "/" + *request.body;
  co_return answer;
}

Task<Result<reservation::ReservationAnswer>> give(
    reservation::ReservationAnswer answer) {
  co_return answer;
}

CallerPorts ports_of(Backstage& stage) {
  CallerPorts ports;
  ports.admit = [&stage](const std::string&, const std::string&,
                         TimePoint) -> Result<admission::Permit> {
    if (stage.refuse_at_door) {
      return tl::unexpected(*stage.refuse_at_door);
    }
    return admission::Permit(
        [&stage](const admission::RequestEnd& end, TimePoint) {
          stage.finished.push_back(end.error);
        });
  };
  ports.query = [&stage](query::QueryRequest request, auto) {
    return run_query(&stage, std::move(request));
  };
  ports.reserve = [&stage](auto) { return give(stage.reservation); };
  ports.ask = [&stage](auto, auto, auto) { return give(stage.reservation); };
  ports.issue_ticket = [] { return std::string("t-1"); };
  ports.ready = [&stage] { return stage.ready; };
  return ports;
}

/// The interface over a `Backstage`.
class Fixture {
 public:
  Fixture() : api(ports_of(this->stage), this->registry, 1) {}

  http::Response send(const std::string& method,
                      const std::string& target,
                      std::map<std::string, std::string> fields = {}) {
    auto request = std::make_shared<http::Request>();
    request->method = method;
    request->target = target;
    request->body = "q";
    for (const auto& [name, value] : fields) {
      request->add(name, value);
    }
    boost::asio::io_context context;
    auto answer = boost::asio::co_spawn(
        context,
        this->api.handler()(request, std::make_shared<http::CancelToken>()),
        boost::asio::use_future);
    context.run();
    return answer.get();
  }

  http::Response query(std::map<std::string, std::string> fields = {}) {
    return this->send("POST", "/v1/services/bays/query", std::move(fields));
  }

  /// How many requests were counted with these labels.
  double counted(const std::string& service, const std::string& result) {
    for (const auto& family : this->registry.Collect()) {
      if (family.name != "ibismux_caller_requests_total") {
        continue;
      }
      for (const auto& metric : family.metric) {
        std::map<std::string, std::string> labels;
        for (const auto& label : metric.label) {
          labels[label.name] = label.value;
        }
        if (labels["service"] == service && labels["result"] == result) {
          return metric.counter.value;
        }
      }
    }
    return 0;
  }

  Backstage stage;
  prometheus::Registry registry;
  CallerApi api;
};

std::string error_of(const http::Response& response) {
  return boost::json::parse(response.body).at("error").as_string().c_str();
}

}  // namespace

Test(caller_api, answers_a_query_and_gives_the_slot_back) {
  Fixture fixture;
  const auto response = fixture.query({{"X-Request-Id", "r-9"}});
  cr_assert(response.status == 200);
  cr_assert(response.field("X-Request-Id") == "r-9");
  const auto object = boost::json::parse(response.body).as_object();
  cr_assert(object.at("request_id") == "r-9");
  cr_assert(object.at("snapshot") == "bays/q");
  cr_assert(fixture.stage.finished.size() == 1);
  cr_assert(!fixture.stage.finished[0]);
  cr_assert(fixture.counted("bays", "ok") == 1);
}

Test(caller_api, makes_up_a_request_id_where_there_is_none) {
  Fixture fixture;
  const auto first = fixture.query();
  const auto second = fixture.query();
  cr_assert(first.field("X-Request-Id").size() == 32);
  cr_assert(first.field("X-Request-Id") != second.field("X-Request-Id"));
  const auto wrong = fixture.query({{"X-Request-Id", std::string(129, 'x')}});
  cr_assert(wrong.status == 400);
  cr_assert(wrong.field("X-Request-Id").size() == 32);
}

Test(caller_api, refusal_at_the_door_runs_nothing) {
  Fixture fixture;
  fixture.stage.refuse_at_door = make_error(ErrorKind::kOverloaded, "full");
  fixture.stage.refuse_at_door->retry_after = std::chrono::milliseconds(40);
  const auto response = fixture.query();
  cr_assert(response.status == 503);
  cr_assert(error_of(response) == "overloaded");
  cr_assert(response.field("Retry-After") == "1");
  cr_assert(fixture.stage.queries == 0);
  cr_assert(fixture.counted("bays", "overloaded") == 1);
}

// Failure: "not run" is said of a key that has run.
Test(caller_api, refusal_at_the_door_says_nothing_of_a_key) {
  Fixture fixture;
  fixture.stage.refuse_at_door =
      make_error(ErrorKind::kOverloaded, "no slot left");
  const std::string target = "/v1/services/bays/reservations";
  const auto keyed = fixture.send(
      "POST", target, {{"X-Item", "kettle"}, {"Idempotency-Key", "k1"}});
  cr_assert(keyed.status == 503);
  cr_assert(keyed.body.find(R"("execution":"unknown")") != std::string::npos);
  const auto asked = fixture.send("GET", target + "/k1");
  cr_assert(asked.body.find(R"("execution":"unknown")") != std::string::npos);
  const auto unkeyed = fixture.send("POST", target, {{"X-Item", "kettle"}});
  cr_assert(unkeyed.body.find(R"("execution":"not_run")") != std::string::npos);
  fixture.stage.ready = false;
  const auto early = fixture.send(
      "POST", target, {{"X-Item", "kettle"}, {"Idempotency-Key", "k1"}});
  cr_assert(early.body.find(R"("execution":"unknown")") != std::string::npos);
}

Test(caller_api, wrong_form_and_not_ready_never_reach_the_door) {
  Fixture fixture;
  cr_assert(fixture.query({{"X-Deadline-Ms", "0"}}).status == 400);
  fixture.stage.ready = false;
  cr_assert(error_of(fixture.query()) == "not_ready");
  cr_assert(fixture.stage.finished.empty());
}

Test(caller_api, limiter_learns_how_a_request_failed) {
  Fixture fixture;
  fixture.stage.fail_query = make_error(ErrorKind::kDeadlineExceeded, "late");
  cr_assert(fixture.query().status == 504);
  cr_assert(fixture.stage.finished[0] == ErrorKind::kDeadlineExceeded);
}

Test(caller_api, engine_that_throws_is_an_internal_error) {
  Fixture fixture;
  fixture.stage.throw_in_query = true;
  const auto response = fixture.query();
  cr_assert(response.status == 500);
  cr_assert(error_of(response) == "internal");
  cr_assert(response.body.find("broken") == std::string::npos);
  cr_assert(fixture.stage.finished.size() == 1);
}

// Failure: memory grows without end while someone scans paths.
Test(caller_api, names_that_do_not_exist_make_no_metrics) {
  Fixture fixture;
  fixture.stage.refuse_at_door = make_error(ErrorKind::kNotFound, "no service");
  fixture.send("POST", "/v1/services/scan-1/query");
  fixture.send("POST", "/v1/services/scan-2/query");
  fixture.send("POST", "/scan-3");
  cr_assert(fixture.counted("scan-1", "not_found") == 0);
  cr_assert(fixture.counted("", "not_found") == 3);
}

Test(caller_api, reservation_of_unknown_outcome_is_an_error) {
  Fixture fixture;
  const auto response = fixture.send("POST", "/v1/services/spares/reservations",
                                     {{"X-Item", "kettle"}});
  cr_assert(response.status == 502);
  cr_assert(error_of(response) == "outcome_unknown");
  const auto key = fixture.send("GET", "/v1/services/spares/reservations/k");
  cr_assert(key.status == 200);
  cr_assert(boost::json::parse(key.body).at("state") == "unknown");
  const auto ticket = fixture.send("POST", "/v1/tickets");
  cr_assert(boost::json::parse(ticket.body).at("ticket") == "t-1");
}
