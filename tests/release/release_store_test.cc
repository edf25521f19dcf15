#include "ibismux/release/release_store.h"

#include "ibismux/release/assembly.h"
#include "ibismux/release/release.h"
#include "ibismux/release/release_contents.h"
#include "tests/release/sample_objects.h"

#include <criterion/criterion.h>

namespace ibismux::release {
namespace {

struct Encoded {
  std::string head;
  std::vector<std::string> chunks;
};

/// By it, the few objects here have index chunks.
constexpr ReleaseLayout kTwoLevels{.objects_per_chunk = 1,
                                   .fewest_chunks = 16,
                                   .most_direct_chunks = 8};

Encoded encode(const ReleaseContents& base,
               const ObjectSet& objects,
               Generation generation,
               const ReleaseLayout& layout = {}) {
  const Assembly assembly =
      assemble(base, objects, {},
               Head{.generation = generation,
                    .publication = "p" + std::to_string(generation)},
               layout);
  Encoded encoded{encode_head(assembly.head), {}};
  for (const Assembly::NewChunk& chunk : assembly.chunks) {
    encoded.chunks.push_back(chunk.bytes);
  }
  return encoded;
}

void offer(ReleaseStore& store,
           const ObjectSet& objects,
           Generation generation) {
  const Encoded encoded = encode(*store.contents(), objects, generation);
  const Result<bool> done = store.offer(encoded.head, encoded.chunks);
  cr_assert(done && *done, "%s", done ? "" : done.error().message.c_str());
}

Test(release_store, puts_a_release_in_force_as_requests_read_it) {
  ReleaseStore store;
  cr_assert(store.head().empty());
  offer(store, testing::sample_objects(), 1);

  const auto release = store.releases().read();
  cr_assert(release->generation == 1);
  const auto& service = release->services.at("bays");
  cr_assert(service->limits.size() == 1);
  cr_assert(service->snapshots.size() == 1);
  const SnapshotView& snapshot = *service->snapshots[0];
  cr_assert(snapshot.shards[0].name == "low");
  cr_assert(snapshot.shards[1].name == "high");
  cr_assert(release->leafs[snapshot.shards[0].replicas[0]].name == "b");
}

Test(release_store, asks_only_for_chunks_that_changed) {
  ReleaseStore store;
  offer(store, testing::sample_objects(), 1);
  ObjectSet objects = testing::sample_objects();
  testing::put(objects,
               "{'kind':'limit_policy','name':'l1','spec':{'concurrency':8}}",
               9);
  const Encoded next = encode(*store.contents(), objects, 2);
  const auto missing = store.missing(next.head);
  cr_assert(missing && missing->size() == 1);
  cr_assert(next.chunks.size() == 1);
  cr_assert(*store.offer(next.head, next.chunks));
  cr_assert(store.missing(next.head)->empty());
  cr_assert(store.chunk(missing->front()) == next.chunks.front());
}

// Failure: a change that was in force comes undone on one daemon.
Test(release_store, never_goes_back) {
  ReleaseStore store;
  const Encoded old = encode(*store.contents(), testing::sample_objects(), 1);
  offer(store, testing::sample_objects(), 2);
  cr_assert(!*store.offer(old.head, old.chunks));
  cr_assert(store.generation() == 2);
}

Test(release_store, refuses_what_is_not_whole_and_changes_nothing) {
  ReleaseStore store;
  Encoded encoded = encode(*store.contents(), testing::sample_objects(), 1);
  cr_assert(!store.offer("rubbish", {}));
  cr_assert(!store.offer(encoded.head, {}));
  encoded.chunks.front() += "x";
  cr_assert(!store.offer(encoded.head, encoded.chunks));
  cr_assert(store.generation() == 0);
}

Test(release_store, refuses_objects_that_do_not_fit_together) {
  ReleaseStore store;
  ObjectSet objects = testing::sample_objects();
  objects.erase(ObjectKey{ObjectKind::kShard, "low"});
  const Encoded encoded = encode(*store.contents(), objects, 1);
  const Result<bool> done = store.offer(encoded.head, encoded.chunks);
  cr_assert(!done && done.error().kind == ErrorKind::kInvalidRequest);
}

/// The sample with a changed limit policy, on top of what `store` holds.
Encoded next_of_two_levels(ReleaseStore& store) {
  const Encoded first =
      encode(*store.contents(), testing::sample_objects(), 1, kTwoLevels);
  cr_assert(store.offer(first.head, first.chunks).value_or(false));
  ObjectSet objects = testing::sample_objects();
  testing::put(objects,
               "{'kind':'limit_policy','name':'l1','spec':{'concurrency':8}}",
               9);
  return encode(*store.contents(), objects, 2, kTwoLevels);
}

Test(release_store, asks_for_one_index_chunk_and_then_for_one_chunk) {
  ReleaseStore store;
  const Encoded next = next_of_two_levels(store);
  cr_assert(decode_head(next.head)->indexes.size() == 4);
  cr_assert(next.chunks.size() == 2);
  const auto indexes = store.missing(next.head);
  cr_assert(indexes && indexes->size() == 1);
  cr_assert(indexes->front().starts_with("index-2-"));
  const auto chunks = store.missing(next.head, {next.chunks.back()});
  cr_assert(chunks && chunks->size() == 1);
  cr_assert(chunks->front().starts_with("chunk-2-"));
  cr_assert(*store.offer(next.head, next.chunks));

  cr_assert(store.chunk(indexes->front()) == next.chunks.back());
  cr_assert(store.chunk(chunks->front()) == next.chunks.front());
  const std::vector<std::string> both = {indexes->front(), chunks->front()};
  cr_assert(store.written_since(1) == both);
  cr_assert(store.written_since(1, indexes->front()) == *chunks);
  cr_assert(store.written_since(2).empty());
}

// Failure: a chunk that doesn't match its hash is used or asked for ever.
Test(release_store, refuses_an_index_chunk_that_does_not_match_its_hash) {
  ReleaseStore store;
  Encoded next = next_of_two_levels(store);
  next.chunks.back() += "x";
  const auto missing = store.missing(next.head, next.chunks);
  cr_assert(missing && missing->front().starts_with("index-2-"));
  cr_assert(!store.offer(next.head, next.chunks));
  cr_assert(store.generation() == 1);
}

Test(release_store, refuses_a_head_with_malformed_indexes) {
  const ChunkRef ref{1, content_hash("")};
  Head head{.generation = 1, .publication = "p"};
  cr_assert(!decode_head(encode_head(head)));
  head.indexes = {ref, ref, ref};
  cr_assert(!decode_head(encode_head(head)));
  head.indexes = {ref, ChunkRef{1, ""}};
  cr_assert(!decode_head(encode_head(head)));
  head.indexes = {ref, ref};
  cr_assert(decode_head(encode_head(head)).has_value());
  head.chunks = {ref};
  cr_assert(!decode_head(encode_head(head)));
  cr_assert(!decode_index(encode_index({})));
}

}  // namespace
}  // namespace ibismux::release
