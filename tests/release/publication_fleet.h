#ifndef IBISMUX_TESTS_RELEASE_PUBLICATION_FLEET_H_
#define IBISMUX_TESTS_RELEASE_PUBLICATION_FLEET_H_

#include <glog/logging.h>
#include <prometheus/registry.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "ibismux/release/housekeeping.h"
#include "ibismux/release/release_contents.h"
#include "ibismux/release/release_writer.h"
#include "tests/release/sample_objects.h"
#include "tests/release/stepping_store.h"
#include "tests/support/memory_object_store.h"

namespace ibismux::release::testing {

using ibismux::testing::MemoryObjectStore;

/// One daemon that publishes when told to, step by step.
class SteppedPublisher {
 public:
  SteppedPublisher(MemoryObjectStore& store,
                   const std::string& name,
                   const ReleaseLayout& layout = {})
      : store(store),
        metrics(this->registry),
        writer(
            this->store,
            this->releases,
            this->metrics,
            name,
            std::chrono::seconds(1),
            [] { return WallTime(std::chrono::seconds(7)); },
            layout),
        housekeeping(this->store,
                     this->releases,
                     this->metrics,
                     std::chrono::seconds(1),
                     1) {
    this->housekeeping.sweep_next();
    FLAGS_minloglevel = google::GLOG_ERROR;
  }

  /// Begins to list and publish, unless it is at it.
  void begin() {
    if (!this->busy) {
      this->busy = true;
      boost::asio::co_spawn(this->loop, publish(this), boost::asio::detached);
    }
  }

  /// One step. @return Whether there was one to make.
  bool step() {
    this->loop.restart();
    return this->loop.poll_one() > 0;
  }

  ReleaseStore releases;
  bool busy = false;
  bool failed = false;  ///< The last time ended with an error.

 private:
  static Task<void> publish(SteppedPublisher* self) {
    std::string collection = store::kObjects;
    auto listing =
        co_await self->store.list(std::move(collection), Clock::now());
    self->failed = !listing;
    if (listing) {
      self->mirror.reset(*listing);
    }
    for (bool more = listing.has_value(); more;) {
      const Result<bool> advanced = co_await self->writer.publish(
          self->mirror.view(), self->housekeeping.recorded());
      more = advanced && *advanced;
      self->housekeeping.retire(self->writer.take_retired());
      const Result<void> tidy =
          co_await self->housekeeping.run(self->mirror.view());
      self->failed = !advanced || !tidy;
    }
    self->busy = false;
  }

  boost::asio::io_context loop;
  SteppingStore store;
  prometheus::Registry registry;
  PublisherMetrics metrics;
  ReleaseWriter writer;
  Housekeeping housekeeping;
  ObjectMirror mirror;
};

/// What must hold of the platform's store at every moment.
class PublicationInvariants {
 public:
  explicit PublicationInvariants(MemoryObjectStore& store) : store(store) {}

  /// @return What does not hold; empty if all does.
  std::string check() {
    const store::StoredObject stored =
        this->store.peek(store::kReleases, kHeadName);
    if (stored.version == 0) {
      return this->generation == 0 ? "" : "the head is gone";
    }
    const Result<Head> head = decode_head(stored.value);
    if (!head) {
      return "the head is malformed";
    }
    if (head->generation < this->generation) {
      return "the generation fell";
    }
    if (head->generation == this->generation && stored.value != this->bytes) {
      return "a generation has two heads";
    }
    if (head->objects_version < this->objects_version) {
      return "a release is made of an older view than the one before it";
    }
    this->objects_version = head->objects_version;
    this->generation = head->generation;
    this->bytes = stored.value;
    for (const Change& change : head->recent) {
      const auto [place, fresh] = this->seen.emplace(change.sequence, change);
      if (!fresh && place->second != change) {
        return "a sequence has two changes";
      }
      if (fresh && this->reverts(change)) {
        return "a change reverts " + change.object;
      }
    }
    return this->load(*head);
  }

  /// The release that the store holds.
  [[nodiscard]] std::shared_ptr<const ReleaseContents> contents() const {
    return this->reader.contents();
  }

  /// Whether the audit trail shows each change ever seen in a head, once.
  [[nodiscard]] bool audit_is_complete() const {
    AuditEntries trail;
    for (std::uint64_t first = 1; first <= this->seen.size();
         first += kChangesPerAuditChunk) {
      const auto chunk =
          this->store.peek(store::kAudit, audit_chunk_name(first));
      const Result<AuditEntries> entries = decode_audit(chunk.value);
      if (entries) {
        trail.insert(entries->begin(), entries->end());
      }
    }
    return trail == this->seen &&
           (trail.empty() || trail.rbegin()->first == trail.size());
  }

 private:
  /// An accepted version never falls, and only what operators deleted goes.
  [[nodiscard]] bool reverts(const Change& change) const {
    if (change.to_version != 0) {
      return change.to_version <= change.from_version;
    }
    const auto stored = this->store.peek(store::kObjects, change.object);
    return stored.version != 0 && stored.version <= change.from_version;
  }

  /// A head of which not all is there is a release that nobody can load.
  std::string load(const Head& head) {
    std::vector<std::string> parts;
    for (int level = 0; level < kPartLevels; ++level) {
      const auto missing = this->reader.missing(this->bytes, parts);
      if (!missing) {
        return missing.error().message;
      }
      for (const std::string& name : *missing) {
        parts.push_back(this->store.peek(store::kReleases, name).value);
      }
    }
    const Result<bool> offered = this->reader.offer(this->bytes, parts);
    if (!offered) {
      return offered.error().message;
    }
    // Also what the reader has had from before.
    const auto contents = this->reader.contents();
    for (const std::string& name : names_of(head, contents->parts.refs)) {
      if (this->store.peek(store::kReleases, name).version == 0) {
        return "a chunk in use is gone";
      }
    }
    return "";
  }

  MemoryObjectStore& store;
  ReleaseStore reader;
  Generation generation = 0;
  store::Version objects_version = 0;
  std::string bytes;
  AuditEntries seen;
};

/// Writes `json` (single quotes for double ones) as an operator would.
inline store::Version operator_writes(MemoryObjectStore& store,
                                      std::string json) {
  for (char& c : json) {
    c = c == '\'' ? '"' : c;
  }
  const std::string name = to_string(record_of(json).key);
  return store.force_put(store::kObjects, name, json);
}

}  // namespace ibismux::release::testing

#endif  // IBISMUX_TESTS_RELEASE_PUBLICATION_FLEET_H_
