// bench-release LEAFS: what one change of configuration costs a daemon, for
// services of 230 leafs each: the time to decide, to encode, to take the
// release in, and the bytes that move. Prints one JSON object.

#include <malloc.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>
#include <thread>
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
  std::size_t head_bytes = 0;    // With recent changes, all audited.
  std::size_t recent_bytes = 0;  // Of these, the changes.
  std::size_t index_bytes = 0;
  std::size_t chunk_bytes = 0;
  std::size_t written = 0;  // Chunks, index chunks and the head.
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
            .change_count = base->head.change_count + candidate.changes.size(),
            .recent = base->head.recent};
  head.recent.insert(head.recent.end(), candidate.changes.begin(),
                     candidate.changes.end());
  if (head.recent.size() > kRecentChanges) {
    head.recent.erase(
        head.recent.begin(),
        head.recent.end() - static_cast<std::ptrdiff_t>(kRecentChanges));
  }
  const Assembly assembly =
      assemble(*base, candidate.objects, candidate.rejections, head);
  const std::string bytes = encode_head(assembly.head);
  costs.assemble_ms.push_back(millis_since(start));
  std::vector<std::string> chunks;
  costs.chunk_bytes = costs.index_bytes = 0;
  costs.written = assembly.chunks.size() + 1;
  for (const Assembly::NewChunk& chunk : assembly.chunks) {
    (parse_chunk_name(chunk.name).is_index ? costs.index_bytes
                                           : costs.chunk_bytes) +=
        chunk.bytes.size();
    chunks.push_back(chunk.bytes);
  }
  costs.head_bytes = bytes.size();
  head = assembly.head;
  head.recent.clear();
  costs.recent_bytes = bytes.size() - encode_head(head).size();
  start = Clock::now();
  if (!store.offer(bytes, chunks)) {
    std::abort();
  }
  costs.take_ms.push_back(millis_since(start));
  return true;
}

struct Memory {
  std::size_t heap = 0;      // In use, in bytes.
  std::size_t resident = 0;  // Of the process, in bytes.
};

std::size_t heap_now() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

Memory memory_now() {
  malloc_trim(0);
  std::ifstream statm("/proc/self/statm");
  std::size_t size = 0;
  std::size_t resident = 0;
  statm >> size >> resident;
  return {heap_now(),
          resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE))};
}

double megabytes(std::size_t before, std::size_t now) {
  return (static_cast<double>(now) - static_cast<double>(before)) /
         (1024.0 * 1024.0);
}

boost::json::object megabytes_since(const Memory& before) {
  const Memory now = memory_now();
  return {{"heap_mb", megabytes(before.heap, now.heap)},
          {"resident_mb", megabytes(before.resident, now.resident)}};
}

/// The most heap that is in use while `work` runs, looked at every 100 us.
template <class Work>
std::size_t most_heap_during(Work work) {
  std::atomic<bool> done{false};
  std::size_t most = heap_now();
  std::thread sampler([&done, &most] {
    while (!done.load()) {
      most = std::max(most, heap_now());
      std::this_thread::sleep_for(std::chrono::microseconds(100));
    }
  });
  work();
  done.store(true);
  sampler.join();
  return most;
}

/// The parts of the release in force in `store` that were written after `have`.
std::vector<std::string> parts_since(const ReleaseStore& store,
                                     Generation have) {
  std::vector<std::string> parts;
  for (const std::string& name : store.written_since(have)) {
    parts.push_back(store.chunk(name).value());
  }
  return parts;
}

/// What a daemon that only reads holds: one release, and two while requests
/// that began with the old one are under way. `change` advances `publisher`.
template <class Change>
boost::json::object measure_memory(const ReleaseStore& publisher,
                                   Change change) {
  std::vector<std::string> parts = parts_since(publisher, 0);
  const Memory before = memory_now();
  ReleaseStore reader;
  if (!reader.offer(publisher.head(), parts)) {
    std::abort();
  }
  boost::json::object one = megabytes_since(before);
  const auto old_contents = reader.contents();
  const auto old_release = reader.releases().read();
  const Generation have = publisher.generation();
  change();
  parts = parts_since(publisher, have);
  const Memory after_change = memory_now();
  const std::size_t most = most_heap_during([&] {
    if (!reader.offer(publisher.head(), parts)) {
      std::abort();
    }
  });
  boost::json::object both = megabytes_since(after_change);
  both["most_heap_mb"] = megabytes(after_change.heap, most);
  return {{"one_release", std::move(one)}, {"second_release", std::move(both)}};
}

}  // namespace

int main(int count, char** words) {
  const std::size_t leafs =
      count > 1 ? std::strtoul(words[1], nullptr, 10) : 83;
  ObjectView view;
  const Memory before_view = memory_now();
  for (std::size_t done = 0; done < leafs; done += kLeafsPerService) {
    put_service(view, done / kLeafsPerService,
                std::min(kLeafsPerService, leafs - done));
  }
  boost::json::object view_memory = megabytes_since(before_view);
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
  boost::json::object memory = measure_memory(store, [&] {
    BackendServer server = server_of(0);
    server.slots = 5;
    put(view, std::move(server));
    Costs ignored;
    publish(view, store, ignored);
  });
  memory["publishers_view"] = std::move(view_memory);
  std::cout << boost::json::serialize(boost::json::object{
                   {"leafs", leafs},
                   {"objects", contents->objects.size()},
                   {"chunks", contents->parts.chunks.size()},
                   {"indexes", contents->parts.indexes.size()},
                   {"import_ms", import_ms},
                   {"import_releases", first.take_ms.size()},
                   {"decide_ms", median(change.decide_ms)},
                   {"assemble_ms", median(change.assemble_ms)},
                   {"take_ms", median(change.take_ms)},
                   {"head_bytes", change.head_bytes},
                   {"recent_bytes", change.recent_bytes},
                   {"index_bytes", change.index_bytes},
                   {"chunk_bytes", change.chunk_bytes},
                   {"written", change.written},
                   {"memory", std::move(memory)}})
            << std::endl;
  return 0;
}
