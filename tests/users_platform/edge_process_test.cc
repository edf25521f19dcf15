// The daemon as a process, against the stand-ins for the users' platform.

#include "tests/users_platform/edge_site.h"

#include <criterion/criterion.h>
#include <signal.h>

#include <thread>

namespace ibismux::testing {
namespace {

Test(edge_process, the_whole_path) {
  EdgeSite site;
  cr_assert(site.wait_until_ready());
  const auto query = site.call("q1", "/query/1").value();
  cr_assert(query.status == 200);
  cr_assert(query.field("X-Missing-Parts") == "0");
  cr_assert(query.body.size() == 160);
  const auto page = site.call("p1", "/page/1").value();
  cr_assert(page.status == 200);
  cr_assert(std::string(page.field("X-Server-Stamp")).ends_with(".p1"));
  const auto order = site.call("o1", "/order/1", "POST", "one kettle").value();
  cr_assert(order.status == 200);
  cr_assert(site.runs("desk", "o1") == 1);
  cr_assert(site.call("x1", "/nowhere/").value().status == 404);
  cr_assert(site.metrics().find("ibismux_dispatch_requests_total") !=
            std::string::npos);
}

Test(edge_process, without_a_configuration_it_refuses_and_is_not_ready) {
  EdgeSite site(0);
  site.fake("PUT", "faults", "{\"outage\":true}");
  site.start_daemon();
  cr_assert(site.ready().status == 503);
  const auto refused = site.call("q1", "/query/1").value();
  cr_assert(refused.status == 503);
  cr_assert(!refused.field("Retry-After").empty());
  site.fake("PUT", "faults", "{\"outage\":false}");
  cr_assert(site.wait_until_ready());
  cr_assert(site.call("q2", "/query/1").value().status == 200);
}

Test(edge_process, an_outage_of_the_store_changes_nothing_for_callers) {
  EdgeSite site;
  cr_assert(site.wait_until_ready());
  site.fake("PUT", "faults", "{\"outage\":true}");
  for (int i = 0; i < 20; ++i) {
    cr_assert(site.call("q" + std::to_string(i), "/query/1").value().status ==
              200);
  }
  cr_assert(site.ready().status == 200);
}

Test(edge_process, a_new_configuration_is_in_force_and_an_unreadable_is_not) {
  EdgeSite site;
  cr_assert(site.wait_until_ready());
  site.fake("PUT", "config", "{\"Version\":\"odd\"}");
  cr_assert(site.call("q1", "/query/1").value().status == 200);
  site.fake("PUT", "config", configuration(9, desk_route("new")));
  int number = 0;
  cr_assert(wait_until([&] {
    return site.call("n" + std::to_string(++number), "/new/1").value().status ==
           200;
  }));
  cr_assert(site.call("q2", "/query/1").value().status == 404);
}

// Guards against a leaf whose odd load costs its answers.
Test(edge_process, a_load_that_cant_be_read_is_counted_and_changes_nothing) {
  EdgeSite site;
  cr_assert(site.wait_until_ready());
  const auto unreadable = [&site] {
    const std::string metrics = site.metrics();
    const std::string name = "\nibismux_dispatch_unreadable_loads_total ";
    return std::stod(metrics.substr(metrics.find(name) + name.size()));
  };
  site.fake("PUT", "leafs", R"({"service":"desk","load":"1,0,4,250"})");
  cr_assert(site.call("p1", "/page/1").value().status == 200);
  cr_assert(unreadable() == 0);
  site.fake("PUT", "leafs", R"({"service":"desk","load":"busy"})");
  cr_assert(site.call("p2", "/page/1").value().status == 200);
  cr_assert(unreadable() == 1);
}

// Guards against requests that leave the regions of their route.
Test(edge_process, a_route_with_regions_is_served_there_or_refused) {
  EdgeSite site;
  cr_assert(site.wait_until_ready());
  const auto route = [](const std::string& name, const std::string& region) {
    return desk_route(name, R"(,"AllowedRegions":[")" + region + R"("])");
  };
  site.fake(
      "PUT", "config",
      configuration(9, route("south", "south") + "," + route("west", "west")));
  int number = 0;
  const auto call = [&](const std::string& path) {
    return site.call("n" + std::to_string(++number), path).value();
  };
  cr_assert(wait_until([&] { return call("/south/1").status == 200; }));
  for (int i = 0; i < 10; ++i) {
    const auto served = call("/south/1");
    cr_assert(served.status == 200);
    cr_assert(!served.field("X-Server-Stamp").starts_with("i-desk-0."));
  }
  const auto refused = call("/west/1");
  cr_assert(refused.status == 503);
  cr_assert(!refused.field("Retry-After").empty());
}

// Guards against a reservation that is sent to a second leaf.
Test(edge_process, a_reservation_is_never_run_twice) {
  EdgeSite site;
  cr_assert(site.wait_until_ready());
  site.fake("PUT", "leafs", "{\"service\":\"desk\",\"silent\":true}");
  const auto lost = site.call("o1", "/order/1", "POST", "x", 300).value();
  cr_assert(lost.status == 504);
  cr_assert(site.runs("desk", "o1") == 1);
}

Test(edge_process, a_refusal_of_all_leafs_is_a_promise) {
  EdgeSite site;
  cr_assert(site.wait_until_ready());
  site.fake("PUT", "leafs", "{\"service\":\"desk\",\"sheds\":true}");
  const auto refused = site.call("o1", "/order/1", "POST", "x").value();
  cr_assert(refused.status == 503);
  cr_assert(!refused.field("Retry-After").empty());
  cr_assert(site.runs("desk", "o1") == 0);
}

Test(edge_process, a_success_without_a_receipt_is_not_passed_on) {
  EdgeSite site;
  cr_assert(site.wait_until_ready());
  site.fake("PUT", "leafs", "{\"service\":\"desk\",\"bare\":true}");
  cr_assert(site.call("p1", "/page/1").value().status == 502);
}

Test(edge_process, leafs_that_leave_or_crash_are_answered_for_by_others) {
  EdgeSite site;
  cr_assert(site.wait_until_ready());
  site.fake("PUT", "leafs",
            "{\"service\":\"s1\",\"index\":0,\"draining\":true}");
  site.fake("PUT", "leafs", "{\"service\":\"s2\",\"index\":0,\"gone\":true}");
  site.fake("PUT", "leafs", "{\"service\":\"s3\",\"index\":0,\"crash\":true}");
  int number = 0;
  cr_assert(wait_until([&] {
    const auto answer =
        site.call("q" + std::to_string(++number), "/query/1").value();
    return answer.status == 200 && answer.field("X-Missing-Parts") == "0";
  }));
}

// Guards against calls to leafs that have left, because the store's answer to
// the watch of the leafs was lost while its other answers arrive.
Test(edge_process, a_watch_that_is_never_answered_hides_no_change_of_leafs) {
  EdgeSite site;
  cr_assert(site.wait_until_ready());
  cr_assert(site.call("p1", "/page/1").value().status == 200);
  site.fake("PUT", "faults", R"({"silent_watch":true})");
  site.fake("PUT", "leafs", R"({"service":"desk","draining":true})");
  cr_assert(wait_until(
      [&site] { return site.call("p2", "/page/1").value().status == 503; }));
  site.fake("PUT", "leafs", R"({"service":"desk","restart":true})");
  cr_assert(wait_until(
      [&site] { return site.call("p3", "/page/1").value().status == 200; }));
}

Test(edge_process, a_planned_stop_cuts_no_request) {
  EdgeSite site;
  cr_assert(site.wait_until_ready());
  site.fake("PUT", "leafs", "{\"service\":\"desk\",\"work_ms\":400}");
  Result<http::Response> answer = fail(ErrorKind::kInternal, "not run");
  std::thread caller(
      [&] { answer = site.call("o1", "/order/1", "POST", "x"); });
  cr_assert(wait_until([&] { return site.runs("desk", "o1") == 1; }));
  site.daemon().signal(SIGTERM);
  caller.join();
  cr_assert(answer.has_value() && answer->status == 200);
  cr_assert(site.daemon().wait() == 0);
}

// Failure: a daemon is gone before the balancer has noticed its stop.
Test(edge_process,
     a_daemon_that_stops_takes_new_connections_as_long_as_it_is_set) {
  EdgeSite site(1, std::chrono::milliseconds(4000));
  cr_assert(site.wait_until_ready());
  site.fake("PUT", "leafs", "{\"service\":\"desk\",\"work_ms\":100}");
  site.daemon().signal(SIGTERM);
  cr_assert(wait_until([&] { return site.ready().status != 200; }));
  int served = 0;
  for (;; ++served) {
    const auto answer = site.call("p" + std::to_string(served), "/page/1");
    if (!answer || answer->status != 200) {
      break;
    }
  }
  cr_assert(served >= 10, "%d", served);
  cr_assert(site.daemon().wait() == 0);
}

// Guards against SIGHUP ending the daemon, as it does where nobody handles it.
Test(edge_process, new_settings_cut_nothing) {
  EdgeSite site;
  cr_assert(site.wait_until_ready());
  for (int i = 0; i < 5; ++i) {
    site.daemon().signal(SIGHUP);
    cr_assert(site.call("q" + std::to_string(i), "/query/1").value().status ==
              200);
  }
  cr_assert(site.daemon().running());
}

// Guards against requests that wait for a log whose pipe is full.
Test(edge_process, a_log_that_nobody_reads_costs_no_request) {
  EdgeSite site;
  cr_assert(site.wait_until_ready());
  site.fake("PUT", "leafs", "{\"service\":\"desk\",\"sheds\":true}");
  for (int i = 0; i < 600; ++i) {
    cr_assert(site.call("o" + std::to_string(i), "/order/1", "POST", "x")
                  .value()
                  .status == 503);
  }
}

Test(edge_process, daemons_find_each_other_in_the_store_and_all_serve) {
  EdgeSite site(3);
  cr_assert(site.wait_until_all_ready());
  // All three have met: each reckons with three daemons or more.
  const auto met = [&](std::size_t i) {
    return site.metrics(i).find("ibismux_peer_connections 0") ==
           std::string::npos;
  };
  cr_assert(wait_until([&] { return met(0) && met(1) && met(2); }));
  cr_assert(site.call("q1", "/query/1", "GET", {}, 5000, 2).value().status ==
            200);
}

Test(edge_process, wrong_settings_stop_the_start_with_a_line) {
  const TemporaryFile settings("{\"member\":\"a\"}");
  Process daemon("ibismux-edge", {"--settings", settings.name()});
  cr_assert(daemon.wait() == 2);
  cr_assert(daemon.log().find("zone: is missing") != std::string::npos);
}

Test(edge_process, requests_that_are_no_http_never_reach_a_leaf) {
  EdgeSite site;
  cr_assert(site.wait_until_ready());
  const auto odd =
      http_call(site.daemon().port("caller_port"), "POST", "/order/1", "x",
                {{"Host", "search.example"},
                 {"X-Request-Id", "o1"},
                 {"X-Deadline-Ms", "soon"}});
  cr_assert(odd.value().status == 400);
  cr_assert(site.runs("desk", "o1") == 0);
}

// Guards against entries or connections of a former run that outlive it.
Test(edge_process, leafs_that_start_again_under_their_ids_serve_on) {
  EdgeSite site;
  cr_assert(site.wait_until_ready());
  cr_assert(site.call("r0", "/page/1").value().status == 200);
  for (const char* service : {"desk", "s1", "s2"}) {
    site.fake(
        "PUT", "leafs",
        std::string("{\"service\":\"") + service + "\",\"draining\":true}");
    site.fake(
        "PUT", "leafs",
        std::string("{\"service\":\"") + service + "\",\"restart\":true}");
  }
  int tries = 0;
  cr_assert(wait_until([&] {
    const std::string id = "r" + std::to_string(++tries);
    return site.call(id, "/page/1").value().status == 200 &&
           site.call(id, "/query/1").value().field("X-Missing-Parts") == "0";
  }));
}

// Guards against one bad entry that hides the good ones or is taken over.
Test(edge_process, entries_by_another_writer_change_nothing_for_callers) {
  EdgeSite site;
  cr_assert(site.wait_until_ready());
  int number = 0;
  for (const char* odd :
       {"7", "null", "\"text\"", "{}", "{\"Service\":\"desk\"}",
        "{\"Service\":\"desk\",\"Address\":\"127.0.0.1:1\",\"Zone\":\"z1\","
        "\"Version\":\"v\",\"Slots\":4,\"State\":\"paused\","
        "\"WarmupLeftMs\":0,\"Seq\":1}"}) {
    site.fake("PUT", "entry",
              "{\"name\":\"odd-" + std::to_string(++number) +
                  "\",\"spec\":" + odd + "}");
  }
  site.fake("PUT", "entry", "{\"name\":\"i-desk-0\",\"spec\":[1,2]}");
  cr_assert(wait_until([&] {
    return site.metrics().find(
               "ibismux_leaf_entries_refused_total{fault=\"unreadable\"} 4") !=
           std::string::npos;
  }));
  // The leaf whose entry is unreadable would answer each order with a failure.
  site.fake("PUT", "leafs", R"({"service":"desk","index":0,"fails":true})");
  for (int i = 0; i < 20; ++i) {
    const std::string id = "r" + std::to_string(i);
    cr_assert(site.call(id, "/order/1", "POST", "x").value().status == 200);
    cr_assert(site.call(id, "/query/1").value().status == 200);
  }
}

Test(edge_process, evacuated_zones_get_nothing_also_while_the_store_is_away) {
  EdgeSite site;
  cr_assert(site.wait_until_ready());
  // Only the leaf of z3 answers well: with the others in service some orders
  // fail.
  for (const char* index : {"0", "1"}) {
    site.fake("PUT", "leafs",
              std::string(R"({"service":"desk","fails":true,"index":)") +
                  index + "}");
  }
  for (const char* zone : {"z1", "z2"}) {
    site.fake("PUT", "zone",
              std::string(R"({"evacuated":true,"name":")") + zone + "\"}");
  }
  int number = 0;
  const auto order = [&] {
    const std::string id = "e" + std::to_string(++number);
    return site.call(id, "/order/1", "POST", "x").value();
  };
  cr_assert(wait_until([&] {
    int served = 0;
    while (served < 10 && order().status == 200) {
      ++served;
    }
    return served == 10;
  }));
  site.fake("PUT", "faults", "{\"outage\":true}");
  for (int i = 0; i < 20; ++i) {
    cr_assert(order().status == 200);
  }
  site.fake("PUT", "faults", "{\"outage\":false}");
  site.fake("PUT", "zone", R"({"evacuated":true,"name":"z3"})");
  cr_assert(wait_until([&] { return order().status == 503; }));
  cr_assert(!order().field("Retry-After").empty());
}

// Guards against a transfer coding that is passed over, and the body with it.
Test(edge_process, a_request_hidden_in_a_body_never_reaches_a_leaf) {
  EdgeSite site;
  cr_assert(site.wait_until_ready());
  const std::string head =
      "POST /order/1 HTTP/1.1\r\nHost: search.example\r\nX-Deadline-Ms: "
      "4000\r\nX-Request-Id: ";
  const std::string answer =
      raw_call(site.daemon().port("caller_port"),
               head + "outer\r\nTransfer-Encoding: xchunked\r\n\r\n" + head +
                   "inner\r\nContent-Length: 0\r\n\r\n");
  cr_assert(answer.starts_with("HTTP/1.1 501 "), "%s", answer.c_str());
  cr_assert(site.runs("desk", "outer") == 0);
  cr_assert(site.runs("desk", "inner") == 0);
}

}  // namespace
}  // namespace ibismux::testing
