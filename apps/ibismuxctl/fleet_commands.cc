#include <boost/json/serialize.hpp>
#include <chrono>
#include <ctime>
#include <iostream>
#include <utility>

#include "commands.h"
#include "ibismux/daemon/version.h"
#include "table.h"

namespace ibismux::ctl {
namespace {

namespace json = boost::json;

constexpr std::chrono::seconds kWatchWait{5};

/// Milliseconds since 1970 as a time in UTC.
std::string time_text(const json::value& item) {
  const std::string text = text_at(item, "at_ms");
  if (text.empty()) {
    return "";
  }
  const std::time_t seconds = std::stoll(text) / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char out[32];
  std::strftime(out, sizeof(out), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return out;
}

void print_status(const json::value& body) {
  std::cout << "member      " << text_at(body, "member") << "\n"
            << "ready       " << text_at(body, "ready") << " "
            << text_at(body, "not_ready_because") << "\n"
            << "generation  " << text_at(body, "release.generation") << "\n"
            << "in force    " << in_force_text(body, "release.in_force") << "\n"
            << "objects     " << text_at(body, "release.objects") << "\n";
  for (const json::value& item : body.at("release").at("rejected").as_array()) {
    std::cout << "rejected    " << text_at(item, "kind") << "/"
              << text_at(item, "name") << ": " << text_at(item, "reason")
              << "\n";
  }
  for (const auto& section : body.get_object()) {
    const bool is_shown =
        section.key() == "member" || section.key() == "incarnation" ||
        section.key() == "ready" || section.key() == "not_ready_because" ||
        section.key() == "release";
    if (!is_shown) {
      std::cout << "\n"
                << section.key() << " " << pretty(section.value()) << "\n";
    }
  }
}

}  // namespace

ExitCode Commands::print_events(const json::value& batch) const {
  if (text_at(batch, "resync") == "true") {
    std::cerr << "ibismuxctl: watch: some changes are past; see get and "
                 "audit\n";
  }
  for (const json::value& event : batch.at("events").as_array()) {
    if (this->options.json) {
      std::cout << json::serialize(event) << std::endl;
      continue;
    }
    std::cout << text_at(event, "generation") << "  "
              << text_at(event, "object") << "  " << text_at(event, "state")
              << "  " << text_at(event, "operator") << text_at(event, "reason")
              << std::endl;
  }
  return ExitCode::kOk;
}

ExitCode Commands::watch() {
  std::string since =
      this->options.since ? std::to_string(*this->options.since) : "";
  if (since.empty()) {
    const Result<Answer> now = this->call("GET", "/v1/status");
    if (!now || !now->ok()) {
      return this->failed(now, "");
    }
    since = text_at(now->body, "release.generation");
  }
  for (;;) {
    const Result<Answer> answer = this->call(
        "GET", "/v1/watch?since=" + since +
                   "&wait_ms=" + std::to_string(to_millis(kWatchWait)));
    if (!answer || !answer->ok()) {
      return this->failed(answer, "");
    }
    this->print_events(answer->body);
    // A daemon that is behind the one asked before must not turn it back.
    const std::string generation = text_at(answer->body, "generation");
    if (std::stoull(generation) > std::stoull(since)) {
      since = generation;
    }
  }
}

ExitCode Commands::status() {
  const bool of_object = this->options.arguments.size() == 2;
  if (this->options.arguments.size() == 1) {
    return this->failed(ExitCode::kBadInput, "give KIND and NAME, or none");
  }
  std::string target = "/v1/status";
  if (of_object) {
    const Result<release::ObjectKey> key = this->key_argument();
    if (!key) {
      return this->failed(ExitCode::kBadInput, key.error().message);
    }
    target = "/v1/objects/" + std::string(to_string(key->kind)) + "/" +
             key->name + "/status";
  }
  const Result<Answer> answer = this->call("GET", target);
  if (!answer || !answer->ok()) {
    return this->failed(answer, "");
  }
  if (this->options.json || of_object) {
    std::cout << pretty(answer->body) << "\n";
  } else {
    print_status(answer->body);
  }
  return ExitCode::kOk;
}

ExitCode Commands::audit() {
  std::string target = "/v1/audit?limit=" + std::to_string(this->options.limit);
  if (this->options.from) {
    target += "&from=" + std::to_string(*this->options.from);
  }
  const Result<Answer> answer = this->call("GET", target);
  if (!answer || !answer->ok()) {
    return this->failed(answer, "");
  }
  if (this->options.json) {
    std::cout << pretty(answer->body) << "\n";
    return ExitCode::kOk;
  }
  Table table(
      {"ENTRY", "WHEN", "WHO", "OBJECT", "FROM", "TO", "GENERATION", "CHANGE"});
  for (const json::value& item : answer->body.at("changes").as_array()) {
    table.add({text_at(item, "sequence"), time_text(item),
               text_at(item, "operator"), text_at(item, "object"),
               text_at(item, "from_version"), text_at(item, "to_version"),
               text_at(item, "generation"), text_at(item, "change_id")});
  }
  table.print();
  return ExitCode::kOk;
}

ExitCode Commands::drain() {
  const Result<Answer> answer = this->call("POST", "/v1/drain");
  if (!answer || !answer->ok()) {
    return this->failed(answer, "");
  }
  std::cout << "draining\n";
  return ExitCode::kOk;
}

ExitCode Commands::version() {
  std::cout << "ibismuxctl " << daemon::kVersion << "\n";
  return ExitCode::kOk;
}

}  // namespace ibismux::ctl
