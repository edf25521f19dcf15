#include "request_trace.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <iterator>
#include <map>
#include <sstream>
#include <string_view>

namespace ibismux::ctl {

namespace {

using std::chrono::milliseconds;

// Events about the daemon itself rather than about one leaf.
constexpr std::array<std::string_view, 12> kAboutDaemon = {
    "start",           "stop",
    "drain",           "stalled",
    "config_in_force", "store_lost",
    "store_regained",  "zone_evacuated",
    "fleet_size",      "route_without_zones",
    "gather_role",     "zone_back_in_service"};

bool is_about_daemon(std::string_view event) {
  return std::find(kAboutDaemon.begin(), kAboutDaemon.end(), event) !=
         kAboutDaemon.end();
}

std::vector<std::string> words_of(const std::string& text) {
  std::istringstream stream(text);
  return {std::istream_iterator<std::string>(stream), {}};
}

std::string count_text(const std::map<std::string, int>& counts) {
  std::string text;
  for (const auto& [what, count] : counts) {
    text += (text.empty() ? "" : ", ") + std::to_string(count) + " x " + what;
  }
  return text;
}

}  // namespace

void RequestTrace::add_own(const LogLine& line) {
  if (line.text("request") != this->request) {
    return;
  }
  this->own.push_back(line);
  this->hosts.insert(line.host);
  if (std::string leaf = line.text("leaf"); !leaf.empty()) {
    this->leafs.insert(std::move(leaf));
  }
  if (std::string service = line.text("service"); !service.empty()) {
    this->services.insert(std::move(service));
  }
  for (std::string& service : words_of(line.text("without"))) {
    this->services.insert(std::move(service));
  }
  // A line says one or the other of when the request came.
  const milliseconds took(static_cast<std::int64_t>(
      std::max(line.number("took_ms"), line.number("at_ms"))));
  this->begin = std::min(this->begin, line.at - took);
  this->end = std::max(this->end, line.at);
}

void RequestTrace::add_belief(const LogLine& line) {
  if (!this->hosts.contains(line.host) || line.fields.contains("request") ||
      line.at < this->begin - kBeliefsBefore || line.at > this->end) {
    return;
  }
  if (is_about_daemon(line.event) || this->leafs.contains(line.text("leaf")) ||
      this->services.contains(line.text("service"))) {
    this->beliefs.push_back(line);
  }
}

std::vector<LogLine> RequestTrace::lines() const {
  std::vector<LogLine> all = this->beliefs;
  all.insert(all.end(), this->own.begin(), this->own.end());
  std::stable_sort(
      all.begin(), all.end(),
      [](const LogLine& a, const LogLine& b) { return a.at < b.at; });
  return all;
}

const LogLine* RequestTrace::last_end() const {
  const LogLine* last = nullptr;
  for (const LogLine& line : this->own) {
    if (line.ends_request() && (!last || line.at >= last->at)) {
      last = &line;
    }
  }
  return last;
}

std::string RequestTrace::why_refused(const LogLine& end) const {
  // Callers that come back use the same id: the last line before this end.
  const LogLine* line = nullptr;
  for (const LogLine& any : this->own) {
    if (any.event == "rate_refused" && any.host == end.host &&
        any.at <= end.at && (!line || any.at >= line->at)) {
      line = &any;
    }
  }
  const std::string kind = end.text("kind");
  if (!line || (kind != "rate_limited" && kind != "not_ready")) {
    return {};
  }
  std::string text = "; limit of customer " + line->text("customer") + ": " +
                     line->text("per_second") + " a second and " +
                     line->text("burst") + " in addition";
  if (const std::string owners = line->text("refused_by"); !owners.empty()) {
    text += "; refused by " + owners;
  }
  if (const std::string owners = line->text("unreached"); !owners.empty()) {
    text += "; not reached: " + owners;
  }
  if (line->fields.contains("remembered_ms")) {
    text += "; the oldest refusal was remembered for " +
            line->text("remembered_ms") + " ms";
  } else if (line->text("result") == "refused") {
    text += "; all that refused were asked for this request";
  }
  return text + "; retry after " + line->text("retry_after_ms") + " ms";
}

std::string RequestTrace::why_without(const std::string& service) const {
  std::map<std::string, int> calls;
  for (const LogLine& line : this->own) {
    if (line.text("service") != service) {
      continue;
    }
    if (line.event == "leaf_call_lost") {
      ++calls["call lost (" + line.text("detail") + ")"];
    } else if (line.event == "leaf_failed") {
      ++calls["leaf failed (" + line.text("detail") + ")"];
    }
  }
  for (const LogLine& line : this->beliefs) {
    if (line.text("service") == service) {
      ++calls[line.event];
    }
  }
  return calls.empty() ? service + ": no line says why"
                       : service + ": " + count_text(calls);
}

std::string RequestTrace::cause() const {
  const LogLine* last = this->last_end();
  if (!last) {
    return "no line tells its end; seen at " +
           std::to_string(this->hosts.size()) + " hosts";
  }
  std::string text = last->host + ": ";
  if (last->event == "request_refused") {
    return text + "refused as " + last->text("kind") + ": " +
           last->text("message") + this->why_refused(*last);
  }
  text += last->text("outcome") + " after " + last->text("took_ms") + " ms, " +
          "objective " + last->text("objective_ms") + " ms";
  if (std::string message = last->text("message"); !message.empty()) {
    text += ": " + message;
  }
  std::set<std::string> missing;
  for (const LogLine& line : this->own) {
    for (std::string& service : words_of(line.text("without"))) {
      missing.insert(std::move(service));
    }
  }
  for (const std::string& service : missing) {
    text += "; " + this->why_without(service);
  }
  return text;
}

}  // namespace ibismux::ctl
