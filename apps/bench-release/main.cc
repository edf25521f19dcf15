// bench-release LEAFS: what one change of configuration costs a daemon, for
// services of 230 leafs each: the time to decide, to encode, to take the
// release in, and the bytes that move. Prints one JSON object.

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "ibismux/base/time.h"
#include "ibismux/release/assembly.h"
#include "ibismux/release/candidate.h"
#include "ibismux/release/release_contents.h"
#include "ibismux/release/release_store.h"

namespace {

using namespace ibismux;
using namespace ibismux::release;

constexpr std::size_t kLeafsPerService = 230;
constexpr int kRounds = 9;

void put(ObjectView& view, ObjectSpec spec) {
  const ObjectKey key = key_of(spec);
  view.objects.insert_or_assign(
      key, ObservedObject{++view.version,
                          ObjectRecord{.key = key, .spec = std::move(spec)}});
}

BackendServer server_of(std::size_t i) {
  return BackendServer{.name = "leaf-" + std::to_string(i),
                       .address = "10." + std::to_string(i / 62500) + "." +
                                  std::to_string(i / 250 % 250) + "." +
                                  std::to_string(1 + i % 250),
                       .port = 8100,
                       .zone = "zone-" + std::to_string(i % 16)};
}

/// One shard a leaf, each with a second replica.
void put_service(ObjectView& view, std::size_t number, std::size_t leafs) {
  const std::string service = "service-" + std::to_string(number);
  put(view, QueryService{.name = service});
  Snapshot snapshot{.name = service + "-v1", .service = service, .sequence = 1};
  const std::size_t first = number * kLeafsPerService;
  for (std::size_t i = 0; i < leafs; ++i) {
    put(view, server_of(first + i));
    Shard shard{.name = service + "-s" + std::to_string(i),
                .service = service,
                .begin = static_cast<std::uint32_t>(kKeySpace * i / leafs),
                .end = static_cast<std::uint32_t>(kKeySpace * (i + 1) / leafs)};
    shard.replicas = {server_of(first + i).name,
                      server_of(first + (i + 1) % leafs).name};
    snapshot.shards.push_back(shard.name);
    put(view, std::move(shard));
  }
  put(view, std::move(snapshot));
}

double millis_since(TimePoint start) {
  return std::chrono::duration<double, std::milli>(Clock::now() - start)
      .count();
}

double median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

struct Costs {
  std::vector<double> decide_ms;
  std::vector<double> assemble_ms;
  std::vector<double> take_ms;
  std::size_t head_bytes = 0;
  std::size_t chunk_bytes = 0;
};

/// Publishes what `view` holds, as a publisher and a reader would.
/// @return Whether there was anything to accept.
bool publish(const ObjectView& view, ReleaseStore& store, Costs& costs) {
  const auto base = store.contents();
  TimePoint start = Clock::now();
  const Candidate candidate = decide(*base, view, 0);
  costs.decide_ms.push_back(millis_since(start));
  if (!candidate.differs) {
    return false;
  }
  start = Clock::now();
  Head head{.generation = base->head.generation + 1,
            .publication = "bench",
            .objects_version = view.version,
            .change_count = base->head.change_count + candidate.changes.size()};
  const Assembly assembly =
      assemble(*base, candidate.objects, candidate.rejections, head);
  const std::string bytes = encode_head(assembly.head);
  costs.assemble_ms.push_back(millis_since(start));
  std::vector<std::string> chunks;
  costs.chunk_bytes = 0;
  for (const Assembly::NewChunk& chunk : assembly.chunks) {
    costs.chunk_bytes += chunk.bytes.size();
    chunks.push_back(chunk.bytes);
  }
  costs.head_bytes = bytes.size();
  start = Clock::now();
  if (!store.offer(bytes, chunks)) {
    std::abort();
  }
  costs.take_ms.push_back(millis_since(start));
  return true;
}

}  // namespace

int main(int count, char** words) {
  const std::size_t leafs =
      count > 1 ? std::strtoul(words[1], nullptr, 10) : 83;
  ObjectView view;
  for (std::size_t done = 0; done < leafs; done += kLeafsPerService) {
    put_service(view, done / kLeafsPerService,
                std::min(kLeafsPerService, leafs - done));
  }
  ReleaseStore store;
  Costs first;
  const TimePoint start = Clock::now();
  while (publish(view, store, first)) {
  }
  const double import_ms = millis_since(start);
  Costs change;
  for (int round = 0; round < kRounds; ++round) {
    BackendServer server = server_of(static_cast<std::size_t>(round) % leafs);
    server.slots = 3;
    put(view, std::move(server));
    publish(view, store, change);
  }
  const auto contents = store.contents();
  std::cout << boost::json::serialize(boost::json::object{
                   {"leafs", leafs},
                   {"objects", contents->objects.size()},
                   {"chunks", contents->chunks.size()},
                   {"import_ms", import_ms},
                   {"import_releases", first.take_ms.size()},
                   {"decide_ms", median(change.decide_ms)},
                   {"assemble_ms", median(change.assemble_ms)},
                   {"take_ms", median(change.take_ms)},
                   {"head_bytes", change.head_bytes},
                   {"chunk_bytes", change.chunk_bytes}})
            << std::endl;
  return 0;
}
