#include <glog/logging.h>
#include <prometheus/registry.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "ibismux/base/io_pool.h"
#include "ibismux/http/server.h"
#include "ibismux/operator/operator_api.h"
#include "ibismux/release/publisher.h"
#include "ibismux/release/release_contents.h"
#include "tests/support/memory_object_store.h"
#include "tests/support/process.h"

#include <criterion/criterion.h>

namespace ibismux::ctl {
namespace {

using ibismux::testing::MemoryObjectStore;
using ibismux::testing::Process;

/// How ibismuxctl ended, and what it wrote to its standard error.
struct Ending {
  int code = -1;
  std::string errors;
};

/// A daemon's operator port over a platform in memory, and a folder of files.
class Fixture {
 public:
  Fixture()
      : pool(1),
        publisher(pool.at(0),
                  store,
                  releases,
                  registry,
                  {},
                  {"one", 1},
                  [] { return std::size_t{0}; }),
        api(this->ports()),
        server(pool, {}, api.handler()) {
    FLAGS_minloglevel = google::GLOG_ERROR;
    char name[] = "/tmp/ibismuxctl-test-XXXXXX";
    this->folder = mkdtemp(name);
    this->port = *this->server.listen("127.0.0.1", 0);
    this->publisher.start();
    this->pool.start();
  }

  ~Fixture() {
    this->server.stop();
    this->pool.stop();
    std::filesystem::remove_all(this->folder);
  }

  /// The path of a new file; single quotes stand for double ones.
  std::string file(const std::string& name, std::string text) const {
    for (char& c : text) {
      c = c == '\'' ? '"' : c;
    }
    std::ofstream(this->folder + "/" + name) << text;
    return this->folder + "/" + name;
  }

  Process start(std::vector<std::string> arguments) const {
    arguments.insert(arguments.begin(),
                     {"--address", "127.0.0.1:" + std::to_string(this->port),
                      "--operator", "ana"});
    return Process("ibismuxctl", std::move(arguments));
  }

  Ending run(std::vector<std::string> arguments) const {
    Process program = this->start(std::move(arguments));
    const std::optional<int> code = program.wait();
    return {code.value_or(-1), program.log()};
  }

  MemoryObjectStore store;
  release::ReleaseStore releases;
  operators::InForce in_force{1, 1};
  std::string folder;

 private:
  operators::OperatorPorts ports() {
    operators::OperatorPorts ports{.store = this->store,
                                   .releases = this->releases,
                                   .registry = this->registry};
    ports.self = {"one", 1};
    ports.written = [](const release::ObjectKey&, store::Version) {};
    ports.in_force = [this](Generation) { return this->in_force; };
    ports.not_ready_because = [] { return std::string(); };
    ports.drain = [] {};
    return ports;
  }

  IoPool pool;
  prometheus::Registry registry;
  release::Publisher publisher;
  operators::OperatorApi api;
  http::Server server;
  std::uint16_t port = 0;
};

// In an order in which each needs the next.
constexpr const char* kObjects = R"({'objects': [
  // A snapshot of two shards.
  {'kind':'snapshot','name':'v1','spec':{'service':'bays','sequence':1,
   'shards':['low','high']}},
  {'kind':'shard','name':'low','spec':{'service':'bays','end':100,
   'replicas':['a']}},
  {'kind':'shard','name':'high','spec':{'service':'bays','begin':100,
   'replicas':['a']}},
  {'kind':'query_service','name':'bays','spec':{}},
  {'kind':'backend_server','name':'a','spec':{'address':'10.0.0.1','port':80,
   'zone':'z'}},
]})";

constexpr const char* kMovedBoundary = R"([
  {'kind':'shard','name':'low','spec':{'service':'bays','end':50,
   'replicas':['a']}},
  {'kind':'shard','name':'high','spec':{'service':'bays','begin':50,
   'replicas':['a']}}])";

Test(ctl, applies_a_folder_and_waits_until_it_is_in_force) {
  Fixture test;
  (void)test.file("all.json", kObjects);
  const Ending ending = test.run({"apply", "--wait", test.folder});
  cr_assert(ending.code == 0, "%s", ending.errors.c_str());
  const auto contents = test.releases.contents();
  cr_assert(contents->objects.size() == 5);
  cr_assert(contents->head.recent.front().who == "ana");
  cr_assert(test.run({"diff", test.folder}).code == 0);
  cr_assert(test.run({"get"}).code == 0);
  cr_assert(test.run({"get", "shard", "low"}).code == 0);
  cr_assert(test.run({"status"}).code == 0);
  cr_assert(test.run({"audit", "-o", "json"}).code == 0);
}

// Failure: changes that are in force a moment later are reported as rejected.
Test(ctl, reports_the_verdict_on_all_its_writes_together) {
  Fixture test;
  cr_assert(test.run({"apply", test.file("all.json", kObjects)}).code == 0);
  const std::string moved = test.file("moved.json", kMovedBoundary);
  cr_assert(test.run({"diff", moved}).code == 1);
  const Ending ending = test.run({"apply", moved});
  cr_assert(ending.code == 0, "%s", ending.errors.c_str());
  cr_assert(test.run({"diff", moved}).code == 0);
}

Test(ctl, says_where_a_file_is_wrong_and_sends_nothing) {
  Fixture test;
  const std::string path = test.file("bad.json",
                                     "{'objects': [\n"
                                     "  {'kind':'shard','name':'s','spec':{\n"
                                     "    'service':'bays',\n"
                                     "    'end': 65537,\n"
                                     "    'replicas':['a']}}]}");
  const Ending ending = test.run({"apply", path});
  cr_assert(ending.code == 2);
  const std::string wanted =
      "ibismuxctl: apply: " + path +
      ":4:5: objects.0.spec.end: shard/s: spec: end must be a whole number "
      "from 1 to 65536\n";
  cr_assert(ending.errors == wanted, "%s", ending.errors.c_str());
  cr_assert(test.run({"apply", test.folder + "/none.json"}).code == 2);
  cr_assert(test.run({"apply", test.file("cut.json", "{'kind'")}).code == 2);
  cr_assert(test.run({"fly"}).code == 2);
  cr_assert(test.run({"--timeout", "soon", "get"}).code == 2);
  cr_assert(test.store.writes() == 0);
}

Test(ctl, says_why_an_object_is_rejected) {
  Fixture test;
  const std::string path = test.file(
      "lone.json",
      "{'kind':'shard','name':'s','spec':{'service':'x','replicas':['a']}}");
  cr_assert(test.run({"apply", "--dry-run", path}).code == 3);
  cr_assert(test.store.writes() == 0);
  const Ending ending = test.run({"apply", path});
  cr_assert(ending.code == 3);
  cr_assert(ending.errors.find("shard/s: rejected: shard/s: spec.service "
                               "names query_service/x") != std::string::npos);
}

// Failure: half of a file's objects are written, then apply fails.
Test(ctl, sends_a_write_again_while_the_platform_is_away) {
  Fixture test;
  const std::string path =
      test.file("l.json", "{'kind':'limit_policy','name':'l','spec':{}}");
  test.store.set_outage(true);
  Process program = test.start({"apply", path});
  // The publisher reads too; the program's own reads come on top.
  const std::size_t before = test.store.reads();
  cr_assert(ibismux::testing::wait_until(
      [&test, before] { return test.store.reads() > before + 3; }));
  test.store.set_outage(false);
  cr_assert(program.wait() == 0, "%s", program.log().c_str());
}

Test(ctl, deletes_and_gives_conflicts) {
  Fixture test;
  const std::string path =
      test.file("l.json", "{'kind':'limit_policy','name':'l','spec':{}}");
  cr_assert(test.run({"apply", path}).code == 0);
  const Ending late =
      test.run({"delete", "limit_policy", "l", "--if-match", "99"});
  cr_assert(late.code == 3);
  cr_assert(late.errors.find("current version is 1") != std::string::npos);
  cr_assert(test.run({"delete", "limit_policy", "l"}).code == 0);
  cr_assert(test.releases.contents()->objects.empty());
  cr_assert(test.run({"get", "limit_policy", "l"}).code == 3);
}

Test(ctl, goes_to_the_next_daemon_and_says_when_none_answers) {
  Fixture test;
  Process none("ibismuxctl", {"-a", "127.0.0.1:1", "get"});
  cr_assert(none.wait() == 4);
  cr_assert(none.log().find("no daemon answered") != std::string::npos);
  test.in_force = {1, 2};
  const std::string path =
      test.file("l.json", "{'kind':'limit_policy','name':'l','spec':{}}");
  cr_assert(test.run({"apply", "--wait", "--timeout", "0", path}).code == 4);
}

// Guards against a lost request whose logs show nothing without a daemon.
Test(ctl, a_request_is_explained_from_logs) {
  const Fixture fixture;
  const std::string head =
      "{'time':'2026-02-11T13:22:52.723Z','host':'h1','event':";
  const std::string first = fixture.file(
      "1.log", head + "'request_end','request':'r1','outcome':'partial'}\n");
  const std::string second = fixture.file("2.log", "no event\n");
  cr_assert(fixture.run({"explain", "r1", first, second}).code == 0);
  cr_assert(fixture.run({"--output", "json", "explain", "r1", first}).code ==
            0);
  cr_assert(fixture.run({"losses", first, second}).code == 0);
  const Ending unknown = fixture.run({"explain", "r2", first, second});
  cr_assert(unknown.code == 3);
  cr_assert(unknown.errors.find("no line names request r2") !=
            std::string::npos);
  const Ending missing = fixture.run({"losses", "/nowhere/1.log"});
  cr_assert(missing.code == 2);
  cr_assert(missing.errors.find("/nowhere/1.log: can't be read") !=
            std::string::npos);
  cr_assert(fixture.run({"explain", "r1"}).code == 2);
}

Test(ctl, customers_are_summed_up_from_logs) {
  const Fixture fixture;
  const std::string log = fixture.file(
      "1.log",
      "{'time':'2026-02-11T13:22:52.723Z','host':'h1','customer':'large',"
      "'event':'request_refused','kind':'rate_limited'}\n");
  cr_assert(fixture.run({"customers", log}).code == 0);
  cr_assert(fixture.run({"--output", "json", "customers", log}).code == 0);
  cr_assert(fixture.run({"customers", "/nowhere/1.log"}).code == 2);
}

}  // namespace
}  // namespace ibismux::ctl
