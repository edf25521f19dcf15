#include <rapidcheck.h>

#include <cstdlib>
#include <iterator>
#include <memory>
#include <string>
#include <vector>

#include "tests/release/publication_fleet.h"

#include <criterion/criterion.h>

namespace ibismux::release {
namespace {

using testing::MemoryObjectStore;
using testing::operator_writes;
using testing::PublicationInvariants;
using testing::SteppedPublisher;

constexpr std::size_t kPublishers = 3;

/// What operators write: some clash, some need each other, some are broken.
constexpr const char* kWrites[] = {
    testing::kServerA,
    testing::kServerB,
    testing::kService,
    testing::kLimit,
    testing::kLowShard,
    testing::kHighShard,
    testing::kSnapshot,
    "{'kind':'backend_server','name':'twin','spec':{'address':'10.0.0.1',"
    "'port':80,'zone':'z'}}",
    "{'kind':'snapshot','name':'v1b','spec':{'service':'bays','sequence':1,"
    "'shards':['high','low']}}",
    "{'kind':'shard','name':'low','spec':{'service':'bays','begin':0,'end':50,"
    "'replicas':['a']}}",
    "{'kind':'shard','name':'high','spec':{'service':'bays','begin':50,"
    "'end':65536,'replicas':['a']}}",
    "{'kind':'backend_server','name':'a','deleted':true}",
    "{'kind':'snapshot','name':'v1','deleted':true}",
    "{'kind':'shard','name':'low','deleted':true}",
};

// Each choice says who acts and what happens.
constexpr unsigned kEvents = 32;
constexpr unsigned kChoices = kEvents * 3 * std::size(kWrites);

/// One run of operators, publishers and faults, told by a list of numbers.
class Run {
 public:
  explicit Run(const ReleaseLayout& layout)
      : layout(layout), invariants(this->store) {
    for (std::size_t i = 0; i < kPublishers; ++i) {
      this->replace(i);
    }
  }

  /// @return What broke; empty if nothing did.
  std::string play(const std::vector<unsigned>& choices) {
    for (const unsigned choice : choices) {
      this->act(choice);
      const std::string broken = this->invariants.check();
      if (!broken.empty()) {
        return broken;
      }
    }
    return this->settle();
  }

 private:
  void replace(std::size_t i) {
    const std::string name = "p" + std::to_string(++this->incarnations);
    // The one that is replaced is kept, for its loop owns its coroutine.
    this->gone.push_back(std::move(this->publishers[i]));
    this->publishers[i] =
        std::make_unique<SteppedPublisher>(this->store, name, this->layout);
  }

  /// Most choices are steps of some publisher; the others are events.
  void act(unsigned choice) {
    const unsigned who = choice / kEvents;
    switch (choice % kEvents) {
      case 0:
      case 1:
      case 2:
        operator_writes(this->store, kWrites[who % std::size(kWrites)]);
        break;
      case 3:
        this->store.force_remove(
            store::kObjects,
            to_string(
                testing::record_of(kWrites[who % std::size(kWrites)]).key));
        break;
      case 4:
        this->store.lose_answers(1);
        break;
      case 5:
        this->store.lose_requests(1);
        break;
      case 6:
        this->replace(who % kPublishers);
        break;
      default:
        this->publishers[who % kPublishers]->begin();
        this->publishers[who % kPublishers]->step();
    }
  }

  /// Lets every publisher, one after another, come to an end without faults.
  std::string settle() {
    this->store.lose_answers(0);
    this->store.lose_requests(0);
    for (int round = 0; round < 4; ++round) {
      for (const auto& publisher : this->publishers) {
        publisher->begin();
        while (publisher->step()) {
          const std::string broken = this->invariants.check();
          if (!broken.empty()) {
            return broken;
          }
        }
      }
    }
    for (const auto& publisher : this->publishers) {
      if (publisher->failed) {
        return "a publisher fails for ever";
      }
    }
    if (!this->invariants.audit_is_complete()) {
      return "the audit trail is not complete";
    }
    return this->every_object_has_its_verdict();
  }

  [[nodiscard]] std::string every_object_has_its_verdict() const {
    const auto contents = this->invariants.contents();
    for (const char* json : kWrites) {
      const ObjectKey key = testing::record_of(json).key;
      const auto stored = this->store.peek(store::kObjects, to_string(key));
      const auto accepted = contents->objects.find(key);
      const auto rejected = contents->rejections.find(key);
      const bool is_accepted = accepted != contents->objects.end()
                                   ? accepted->second.version == stored.version
                                   : stored.version == 0;
      const bool is_rejected = rejected != contents->rejections.end() &&
                               rejected->second.version == stored.version;
      if (is_accepted == is_rejected) {
        return to_string(key) + " has no verdict, or two";
      }
    }
    return "";
  }

  const ReleaseLayout layout;
  MemoryObjectStore store;
  PublicationInvariants invariants;
  std::unique_ptr<SteppedPublisher> publishers[kPublishers];
  std::vector<std::unique_ptr<SteppedPublisher>> gone;
  std::size_t incarnations = 0;
};

/// With it, the few objects here take a release from one level to two, and its
/// index chunks are rewritten as at a large site.
constexpr ReleaseLayout kTwoLevels{.objects_per_chunk = 1,
                                   .fewest_chunks = 2,
                                   .most_direct_chunks = 4};

bool any_interleaving_keeps_the_invariants(const ReleaseLayout& layout) {
  // rapidcheck takes its seed from the environment alone.
  setenv("RC_PARAMS", "seed=20261202 max_success=600 max_size=400", 1);
  return rc::check("interleavings of publishers", [&layout] {
    const auto choices = *rc::gen::container<std::vector<unsigned>>(
        rc::gen::inRange(0U, kChoices));
    Run run(layout);
    const std::string broken = run.play(choices);
    if (!broken.empty()) {
      RC_FAIL(broken);
    }
  });
}

// Failure: a generation falls, or a chunk, a trail or a verdict is lost.
Test(publication, keeps_its_promises_in_any_interleaving) {
  cr_assert(any_interleaving_keeps_the_invariants({}));
}

// Failure: as above, or an index chunk in use is gone.
Test(publication, keeps_its_promises_with_index_chunks) {
  cr_assert(any_interleaving_keeps_the_invariants(kTwoLevels));
}

}  // namespace
}  // namespace ibismux::release
