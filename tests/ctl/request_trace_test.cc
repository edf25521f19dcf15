#include "apps/ibismuxctl/request_trace.h"

#include <criterion/criterion.h>

namespace ibismux::ctl {
namespace {

/// An event of host `host`, `millis` after a fixed minute.
std::string event(const std::string& host,
                  int millis,
                  const std::string& name,
                  const std::string& fields) {
  char time[64];
  std::snprintf(time, sizeof(time), "2026-02-11T13:22:%02d.%03dZ",
                millis / 1000, millis % 1000);
  return R"({"time":")" + std::string(time) + R"(","event":")" + name +
         R"(","host":")" + host + "\"," + fields + "}";
}

/// A query that a peer gathered without one shard, whose leaf was unresponsive.
const std::vector<std::string> kLogs = {
    event("h1", 1000, "config_in_force", R"("config":4)"),
    event("h2", 8000, "leaf_ejected", R"("leaf":"i-1","service":"s9")"),
    event("h2", 8100, "leaf_ejected", R"("leaf":"i-7","service":"s8")"),
    event("h3", 8200, "leaf_ejected", R"("leaf":"i-2","service":"s9")"),
    event("h2",
          9040,
          "leaf_call_lost",
          R"("request":"r1","service":"s9","leaf":"i-2","detail":"closed",)"
          R"("at_ms":40)"),
    event("h2",
          9060,
          "request_end",
          R"("request":"r1","outcome":"partial","took_ms":60.5,)"
          R"("objective_ms":50.0,"for_peer":true,"without":"s9")"),
    event("h1",
          9062,
          "request_end",
          R"("request":"r1","outcome":"partial","took_ms":62.25,)"
          R"("objective_ms":50.0,"delegated":true)"),
    event("h1", 9070, "request_end", R"("request":"r2","outcome":"ok")")};

RequestTrace trace_of(const std::string& request,
                      const std::vector<std::string>& logs) {
  RequestTrace trace(request);
  for (const std::string& line : logs) {
    trace.add_own(*parse_log_line(line));
  }
  for (const std::string& line : logs) {
    trace.add_belief(*parse_log_line(line));
  }
  return trace;
}

Test(request_trace, lines_of_all_hosts_and_what_they_believed) {
  const auto lines = trace_of("r1", kLogs).lines();
  cr_assert(lines.size() == 4);
  cr_assert(lines[0].event == "leaf_ejected" && lines[0].text("leaf") == "i-1");
  cr_assert(lines[1].event == "leaf_call_lost");
  cr_assert(lines[3].host == "h1");
}

Test(request_trace, the_cause_names_the_callers_host_and_the_missing_shard) {
  cr_assert(trace_of("r1", kLogs).cause() ==
            "h1: partial after 62.25 ms, objective 50 ms; s9: 1 x call lost "
            "(closed), 1 x leaf_ejected");
}

Test(request_trace, a_request_that_was_refused_at_its_arrival) {
  const auto trace = trace_of(
      "r3",
      {event("h1", 500, "start", R"("pid":1)"),
       event("h1", 900, "request_refused",
             R"("request":"r3","kind":"not_ready","message":"none yet")")});
  cr_assert(trace.lines().size() == 2);
  cr_assert(trace.cause() == "h1: refused as not_ready: none yet");
}

Test(request_trace, a_request_beyond_a_limit_names_the_owners_and_their_age) {
  const std::string end =
      event("h1", 901, "request_refused",
            R"("request":"r3","kind":"rate_limited","message":"beyond it")");
  const std::string limit =
      R"("request":"r3","customer":"c1","per_second":10,"burst":2.5,)";
  cr_assert(
      trace_of("r3",
               {event("h1", 900, "rate_refused",
                      limit + R"("result":"refused","refused_by":"h2 h3",)"
                              R"("unreached":"h4","retry_after_ms":70.0,)"
                              R"("remembered_ms":34.5)"),
                end})
          .cause() ==
      "h1: refused as rate_limited: beyond it; limit of customer c1: 10 a "
      "second and 2.5 in addition; refused by h2 h3; not reached: h4; the "
      "oldest refusal was remembered for 34.5 ms; retry after 70 ms");
  cr_assert(
      trace_of("r3", {event("h1", 900, "rate_refused",
                            limit + R"("result":"refused","refused_by":"h2",)"
                                    R"("unreached":"","retry_after_ms":70.0)"),
                      end})
          .cause()
          .find(
              "refused by h2; all that refused were asked for this request") !=
      std::string::npos);
}

// Guards against the answer to an earlier attempt of the same caller.
Test(request_trace, a_refusal_is_explained_by_its_own_attempt) {
  const auto refused = [](int at, const std::string& owner) {
    return event(
        "h1", at, "rate_refused",
        R"("request":"r3","customer":"c1","refused_by":")" + owner + "\"");
  };
  const std::string end =
      event("h1", 951, "request_refused",
            R"("request":"r3","kind":"rate_limited","message":"beyond it")");
  const std::string cause =
      trace_of("r3", {refused(900, "h2"), refused(950, "h3"), end}).cause();
  cr_assert(cause.find("refused by h3") != std::string::npos);
  const std::string overloaded =
      event("h1", 952, "request_refused",
            R"("request":"r3","kind":"overloaded","message":"full")");
  cr_assert(trace_of("r3", {refused(900, "h2"), overloaded})
                .cause()
                .find("refused by") == std::string::npos);
}

Test(request_trace, a_request_whose_end_no_log_holds) {
  const auto trace =
      trace_of("r1", {event("h2", 9040, "leaf_failed",
                            R"("request":"r1","service":"s9","leaf":"i-2")")});
  cr_assert(trace.cause() == "no line tells its end; seen at 1 hosts");
  cr_assert(!trace_of("r9", kLogs).found());
}

Test(log_line, events_are_read_behind_what_collectors_put_before_them) {
  const auto line = parse_log_line(
      "  0.85 h1 " + event("h1", 62'007, "stalled", R"("late_ms":1.5)") + " ");
  cr_assert(line && line->event == "stalled" && line->number("late_ms") == 1.5);
  const auto before = parse_log_line(event("h1", 7, "stalled", R"("a":1)"));
  cr_assert(line->at - before->at == std::chrono::seconds(62));
}

Test(log_line, anything_else_is_passed_over) {
  for (const char* odd :
       {"", "{", "}{", "[]", "{}", "I1203 09:31 peer_link.cc] text",
        R"({"time":"now","event":"a","host":"h"})",
        R"({"time":"2026-02-11T13:22:52.723Z","host":"h"})",
        R"({"time":"2026-02-11T13:22:52.723Z","event":7,"host":"h"})"}) {
    cr_assert(!parse_log_line(odd), "%s", odd);
  }
}

}  // namespace
}  // namespace ibismux::ctl
