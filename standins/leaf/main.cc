/// ibismux-fake-leaf: many stand-in leafs in one process, each on its own port.
///
///     ibismux-fake-leaf --leafs 3 --history /tmp/leafs.jsonl
///
/// Prints one line {"leafs":{"leaf-1":PORT,...},"control":PORT} when ready.

#include <sys/resource.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/program_options.hpp>
#include <iostream>
#include <sstream>
#include <thread>

#include "standins/command_line.h"
#include "standins/leaf/control.h"

namespace {

namespace asio = boost::asio;
namespace options = boost::program_options;

struct Arguments {
  unsigned leafs = 3;
  std::string prefix = "leaf-";
  std::string names;
  std::string address = "127.0.0.1";
  std::string history;
  std::string config = "{}";
  unsigned threads = 4;
  std::uint64_t seed = 1;
};

/// @return The exit status where the program shall end now.
std::optional<int> parse(int argc, char** argv, Arguments& arguments) {
  options::options_description list("ibismux-fake-leaf");
  list.add_options()("leafs", options::value(&arguments.leafs), "how many")(
      "prefix", options::value(&arguments.prefix), "of the names")(
      "names", options::value(&arguments.names),
      "of the leafs, by commas, in place of --leafs and --prefix")(
      "address", options::value(&arguments.address), "to listen on")(
      "history", options::value(&arguments.history), "file of executions")(
      "config", options::value(&arguments.config),
      "JSON object of sizes and faults, for all leafs")(
      "threads", options::value(&arguments.threads), "event loops")(
      "seed", options::value(&arguments.seed), "of all randomness");
  return standins::parse_command_line(argc, argv, list);
}

std::vector<std::string> names_of(const Arguments& arguments) {
  std::vector<std::string> names;
  std::istringstream list(arguments.names);
  std::string name;
  while (std::getline(list, name, ',')) {
    names.push_back(name);
  }
  for (unsigned i = 0; arguments.names.empty() && i < arguments.leafs; ++i) {
    names.push_back(arguments.prefix + std::to_string(i + 1));
  }
  return names;
}

/// One descriptor a connection: the default soft limit is soon reached.
void raise_descriptor_limit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
  }
}

}  // namespace

int main(int argc, char** argv) {
  Arguments arguments;
  if (const auto status = parse(argc, argv, arguments)) {
    return *status;
  }
  raise_descriptor_limit();
  fake_leaf::History history(arguments.history);
  std::vector<std::unique_ptr<asio::io_context>> loops;
  for (unsigned i = 0; i < std::max(1U, arguments.threads); ++i) {
    loops.push_back(std::make_unique<asio::io_context>(1));
  }
  boost::json::value config = boost::json::parse(arguments.config);
  boost::json::object ports;
  std::vector<std::unique_ptr<fake_leaf::Leaf>> leafs;
  for (const std::string& name : names_of(arguments)) {
    const std::size_t i = leafs.size();
    leafs.push_back(std::make_unique<fake_leaf::Leaf>(
        name, *loops[i % loops.size()], history, arguments.address,
        arguments.seed + i));
    fake_leaf::Leaf& leaf = *leafs.back();
    if (auto problem = leaf.config.merge(config.as_object())) {
      std::cerr << *problem << "\n";
      return 2;
    }
    ports[leaf.leaf_name()] = leaf.port();
    asio::co_spawn(leaf.event_loop(), leaf.accept(), asio::detached);
  }
  fake_leaf::Control control(*loops[0], arguments.address, leafs, history);
  asio::co_spawn(*loops[0], control.accept(), asio::detached);

  asio::signal_set signals(*loops[0], SIGTERM, SIGINT);
  signals.async_wait([&](auto, int) {
    for (auto& loop : loops) {
      loop->stop();
    }
  });
  std::cout << boost::json::serialize(boost::json::object{
                   {"leafs", ports}, {"control", control.port()}})
            << std::endl;
  std::vector<std::thread> threads;
  threads.reserve(loops.size());
  for (auto& loop : loops) {
    threads.emplace_back([&loop] {
      const auto guard = asio::make_work_guard(*loop);
      loop->run();
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  history.flush();
  // The loops still hold connections that refer to their leafs: end here,
  // without destructors, rather than in an order that would need care.
  std::_Exit(0);
}
