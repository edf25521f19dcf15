#include "commands.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <cstdio>
#include <iostream>
#include <random>
#include <thread>
#include <utility>

#include "object_files.h"
#include "table.h"

namespace ibismux::ctl {
namespace {

namespace json = boost::json;

constexpr std::chrono::seconds kCallTimeout{10};
// How long one request waits at the daemon for a state.
constexpr std::chrono::seconds kPollWait{5};
// A write that the platform had no room for is sent again after a pause.
constexpr int kServiceUnavailable = 503;
constexpr std::chrono::milliseconds kFirstPause{50};
constexpr std::chrono::milliseconds kLongestPause{1000};
constexpr std::size_t kAnyCount = SIZE_MAX;

std::string path_of(const release::ObjectKey& key) {
  return "/v1/objects/" + std::string(to_string(key.kind)) + "/" + key.name;
}

std::string label_of(const release::ObjectKey& key) {
  return std::string(to_string(key.kind)) + "/" + key.name;
}

std::string label_of(const json::value& object) {
  return text_at(object, "kind") + "/" + text_at(object, "name");
}

json::object body_of(const release::ObjectRecord& record) {
  return {{"spec", spec_to_json(record.spec)}};
}

}  // namespace

const std::vector<Commands::Entry>& Commands::entries() {
  static const std::vector<Entry> table = {
      {"apply", &Commands::apply, 1, kAnyCount},
      {"get", &Commands::get, 0, 2},
      {"delete", &Commands::remove, 2, 2},
      {"diff", &Commands::diff, 1, kAnyCount},
      {"watch", &Commands::watch, 0, 0},
      {"status", &Commands::status, 0, 2},
      {"audit", &Commands::audit, 0, 0},
      {"drain", &Commands::drain, 0, 0},
      {"explain", &Commands::explain, 2, kAnyCount},
      {"losses", &Commands::losses, 1, kAnyCount},
      {"customers", &Commands::customers, 1, kAnyCount},
      {"version", &Commands::version, 0, 0},
  };
  return table;
}

Commands::Commands(Options options, Client& client)
    : options(std::move(options)), client(client) {
  std::random_device device;
  this->run_id = (static_cast<std::uint64_t>(device()) << 32) | device();
}

ExitCode Commands::run() {
  for (const Entry& entry : entries()) {
    if (this->options.command != entry.name) {
      continue;
    }
    const std::size_t count = this->options.arguments.size();
    if (count < entry.fewest || count > entry.most) {
      return this->failed(ExitCode::kBadInput,
                          "wrong number of arguments; see --help");
    }
    return (this->*entry.method)();
  }
  return this->failed(ExitCode::kBadInput, this->options.command.empty()
                                               ? "no command; see --help"
                                               : "no such command; see --help");
}

Result<Answer> Commands::call(const std::string& method,
                              const std::string& target,
                              const std::string& body,
                              Client::Fields fields) {
  return this->client.call(method, target, body, std::move(fields),
                           Clock::now() + kCallTimeout);
}

Result<Answer> Commands::call_until_written(const std::string& method,
                                            const std::string& target,
                                            const std::string& body) {
  const Client::Fields fields = this->write_fields();
  const TimePoint deadline = Clock::now() + this->options.timeout;
  std::chrono::milliseconds pause = kFirstPause;
  for (;;) {
    Result<Answer> answer = this->call(method, target, body, fields);
    const bool is_away = answer && answer->status == kServiceUnavailable;
    if (!is_away || Clock::now() + pause >= deadline) {
      return answer;
    }
    std::this_thread::sleep_for(pause);
    pause = std::min(pause * 2, kLongestPause);
  }
}

Client::Fields Commands::write_fields() {
  char id[64];
  std::snprintf(id, sizeof(id), "ctl-%016llx-%llu",
                static_cast<unsigned long long>(this->run_id),
                static_cast<unsigned long long>(++this->writes));
  Client::Fields fields{{"X-Change-Id", id}, {"X-Operator", this->options.who}};
  if (this->options.if_match) {
    fields.emplace_back("If-Match", std::to_string(*this->options.if_match));
  }
  return fields;
}

ExitCode Commands::failed(ExitCode code, const std::string& message) const {
  std::cerr << "ibismuxctl: "
            << (this->options.command.empty() ? ""
                                              : this->options.command + ": ")
            << message << "\n";
  return code;
}

ExitCode Commands::failed(const Result<Answer>& answer,
                          const std::string& what) const {
  if (!answer) {
    return this->failed(ExitCode::kUnavailable, what + answer.error().message);
  }
  const bool is_refusal = answer->status < 500;
  return this->failed(is_refusal ? ExitCode::kRefused : ExitCode::kUnavailable,
                      what + answer->message());
}

Result<release::ObjectKey> Commands::key_argument() const {
  const std::string& kind = this->options.arguments[0];
  const std::string& name = this->options.arguments[1];
  const auto key = release::object_key_of(kind + ":" + name);
  if (!key) {
    return fail(ErrorKind::kInvalidRequest,
                "\"" + kind + "/" + name + "\" is no KIND and NAME");
  }
  return *key;
}

ExitCode Commands::apply() {
  const auto records = load_objects(this->options.arguments);
  if (!records) {
    return this->failed(ExitCode::kBadInput, records.error().message);
  }
  if (this->options.if_match && records->size() != 1) {
    return this->failed(ExitCode::kBadInput, "--if-match takes one object");
  }
  return this->options.dry_run ? this->dry_run(*records)
                               : this->write(*records);
}

ExitCode Commands::dry_run(const std::vector<release::ObjectRecord>& records) {
  json::array objects;
  for (const release::ObjectRecord& record : records) {
    objects.push_back(object_to_json(record));
  }
  const std::string body =
      json::serialize(json::object{{"objects", std::move(objects)}});
  const Result<Answer> answer = this->call("POST", "/v1/validate", body);
  if (!answer || !answer->ok()) {
    return this->failed(answer, "");
  }
  if (this->options.json) {
    std::cout << pretty(answer->body) << "\n";
  } else {
    Table table({"OBJECT", "ACCEPTED", "REASON"});
    for (const json::value& item : answer->body.at("objects").as_array()) {
      table.add(
          {label_of(item), text_at(item, "accepted"), text_at(item, "reason")});
    }
    table.print();
  }
  return text_at(answer->body, "valid") == "true" ? ExitCode::kOk
                                                  : ExitCode::kRefused;
}

ExitCode Commands::write(const std::vector<release::ObjectRecord>& records) {
  std::vector<Written> writes;
  for (const release::ObjectRecord& record : records) {
    const Result<Answer> answer = this->call_until_written(
        "PUT", path_of(record.key), json::serialize(body_of(record)));
    if (!answer || !answer->ok()) {
      return this->failed(answer, label_of(record.key) + ": ");
    }
    writes.push_back({record.key,
                      answer->body.at("version").to_number<std::uint64_t>(),
                      text_at(answer->body, "unchanged") == "true"});
  }
  return this->await_all(writes);
}

bool Commands::settled(const Answer& answer) const {
  const std::string state = text_at(answer.body, "status.state");
  const bool done = state == "rejected" || state == "accepted" ||
                    (state == "absent" && this->options.command == "delete");
  const std::string reached = text_at(answer.body, "status.in_force.reached");
  const bool everywhere =
      reached == text_at(answer.body, "status.in_force.members");
  return done && (!this->options.wait || state == "rejected" || everywhere);
}

Result<Answer> Commands::await_one(const Written& written,
                                   std::uint64_t newest,
                                   TimePoint deadline) {
  const std::string target =
      path_of(written.key) +
      "/status?version=" + std::to_string(written.version) +
      "&seen=" + std::to_string(newest) +
      "&wait_ms=" + std::to_string(to_millis(kPollWait)) +
      (this->options.wait ? "&until=in_force" : "");
  for (;;) {
    Result<Answer> answer = this->call("GET", target);
    const bool over = Clock::now() >= deadline;
    if (over || (answer && (!answer->ok() || this->settled(*answer)))) {
      return answer;
    }
  }
}

ExitCode Commands::await_all(const std::vector<Written>& writes) {
  const TimePoint deadline = Clock::now() + this->options.timeout;
  // What is valid only together with a later write is rejected until a release
  // has seen that one, too.
  std::uint64_t newest = 0;
  for (const Written& written : writes) {
    newest = std::max(newest, written.version);
  }
  ExitCode code = ExitCode::kOk;
  Table table({"OBJECT", "VERSION", "STATE", "GENERATION", "IN FORCE"});
  json::array results;
  for (const Written& written : writes) {
    const Result<Answer> answer = this->await_one(written, newest, deadline);
    if (!answer || !answer->ok()) {
      return this->failed(answer, label_of(written.key) + ": ");
    }
    const json::value& body = answer->body;
    const std::string state = text_at(body, "status.state");
    table.add({label_of(written.key), std::to_string(written.version),
               written.unchanged ? state + " (unchanged)" : state,
               text_at(body, "status.generation"),
               in_force_text(body, "status.in_force")});
    results.push_back(body);
    if (state == "rejected") {
      code = this->failed(ExitCode::kRefused,
                          label_of(written.key) +
                              ": rejected: " + text_at(body, "status.reason"));
    } else if (!this->settled(*answer)) {
      code = this->failed(
          ExitCode::kUnavailable,
          label_of(written.key) + ": " + state + " when the timeout passed");
    }
  }
  if (this->options.json) {
    std::cout << pretty(results) << "\n";
  } else {
    table.print();
  }
  return code;
}

ExitCode Commands::list() {
  const std::string kind =
      this->options.arguments.empty() ? "" : "/" + this->options.arguments[0];
  const Result<Answer> answer = this->call("GET", "/v1/objects" + kind);
  if (!answer || !answer->ok()) {
    return this->failed(answer, "");
  }
  if (this->options.json) {
    std::cout << pretty(answer->body) << "\n";
    return ExitCode::kOk;
  }
  Table table({"OBJECT", "VERSION", "GENERATION", "IN FORCE", "SPEC"});
  for (const json::value& item : answer->body.at("objects").as_array()) {
    table.add({label_of(item), text_at(item, "version"),
               text_at(item, "status.generation"),
               in_force_text(item, "status.in_force"), text_at(item, "spec")});
  }
  for (const json::value& item : answer->body.at("rejected").as_array()) {
    table.add({label_of(item), text_at(item, "version"), "rejected", "",
               text_at(item, "reason")});
  }
  table.print();
  return ExitCode::kOk;
}

ExitCode Commands::get() {
  if (this->options.arguments.size() < 2) {
    return this->list();
  }
  const Result<release::ObjectKey> key = this->key_argument();
  if (!key) {
    return this->failed(ExitCode::kBadInput, key.error().message);
  }
  const Result<Answer> answer = this->call("GET", path_of(*key));
  if (!answer || !answer->ok()) {
    return this->failed(answer, "");
  }
  std::cout << pretty(answer->body) << "\n";
  return ExitCode::kOk;
}

ExitCode Commands::remove() {
  const Result<release::ObjectKey> key = this->key_argument();
  if (!key) {
    return this->failed(ExitCode::kBadInput, key.error().message);
  }
  const Result<Answer> answer =
      this->call_until_written("DELETE", path_of(*key), "");
  if (!answer || !answer->ok()) {
    return this->failed(answer, "");
  }
  const auto version = answer->body.at("version").to_number<std::uint64_t>();
  return this->await_all({Written{*key, version, false}});
}

ExitCode Commands::diff() {
  const auto records = load_objects(this->options.arguments);
  if (!records) {
    return this->failed(ExitCode::kBadInput, records.error().message);
  }
  bool differs = false;
  for (const release::ObjectRecord& record : *records) {
    const Result<Answer> answer = this->call("GET", path_of(record.key));
    if (!answer || (!answer->ok() && answer->status != 404)) {
      return this->failed(answer, label_of(record.key) + ": ");
    }
    if (answer->status == 404) {
      std::cout << "+ " << label_of(record.key) << "\n";
      differs = true;
      continue;
    }
    for (const auto& field : spec_to_json(record.spec)) {
      const std::string key = field.key();
      const std::string there = text_at(answer->body, "spec." + key);
      const std::string here = text_at(json::value(field.value()), "");
      if (there != here) {
        std::cout << "~ " << label_of(record.key) << " " << key << ": "
                  << (there.empty() ? "(absent)" : there) << " -> " << here
                  << "\n";
        differs = true;
      }
    }
  }
  return differs ? ExitCode::kDiffers : ExitCode::kOk;
}

}  // namespace ibismux::ctl
