#include <algorithm>
#include <set>

#include "tests/query/query_fixture.h"

#include <criterion/criterion.h>

namespace ibismux::query {
namespace {

constexpr ErrorKind kKinds[] = {
    ErrorKind::kOverloaded,      ErrorKind::kLeafUnavailable,
    ErrorKind::kSnapshotGone,    ErrorKind::kProtocolError,
    ErrorKind::kPeerUnavailable, ErrorKind::kInternal,
    ErrorKind::kDeadlineExceeded};

/// Feeds a query random events in random order: answers, refusals, late,
/// duplicate, foreign and malformed answers, elapsed time and a restart.
class RandomRun {
 public:
  explicit RandomRun(std::uint64_t seed)
      : random(seed),
        pins{this->make_pin(1), this->make_pin(2)},
        query(this->pins[0],
              this->random_below(3) * 0.5,
              this->random_below(2) == 0 ? std::nullopt
                                         : std::optional(milliseconds(200))) {
    this->query.learn_delay(milliseconds(20));
    this->check_and_record(this->query.started);
  }

  void run() {
    while (!this->query.gather.finished()) {
      this->step();
      this->check_and_record(this->query.gather.take_starts());
      cr_assert(this->now <= 1001);
    }
    this->check();
  }

 private:
  struct Sent {
    GatherCall call;
    std::string snapshot;
    bool answered = false;
  };

  std::uint32_t random_below(std::uint32_t count) {
    return this->random(count);
  }

  PinnedSnapshot make_pin(std::uint64_t sequence) {
    auto release =
        release_of(sequence, snapshot_of("n" + std::to_string(sequence),
                                         sequence, 1 + this->random_below(6),
                                         1 + this->random_below(3)));
    for (release::BackendServer& leaf : release->leafs) {
      leaf.leaving = this->random_below(10) == 0;
    }
    return pin_of(release);
  }

  void check_and_record(const std::vector<GatherCall>& calls) {
    const PinnedSnapshot& pin = this->query.gather.pin();
    for (const GatherCall& call : calls) {
      cr_assert(this->ids.insert(call.sequence).second);
      cr_assert(!pin.release->leafs[call.leaf].leaving);
      const auto& replicas = pin.snapshot->shards[call.shard].replicas;
      cr_assert(std::count(replicas.begin(), replicas.end(), call.leaf) == 1);
      this->sent.push_back({call, pin.snapshot->name});
    }
  }

  void step() {
    const std::uint32_t what = this->random_below(10);
    if (what == 0 && this->query.gather.wants_restart(this->query.at(now))) {
      this->query.gather.start(this->pins[1], kRestartSequence,
                               this->query.at(now));
    } else if (what < 4 || this->sent.empty()) {
      this->pass_time();
    } else {
      this->answer(this->sent[this->random_below(this->sent.size())]);
    }
  }

  void pass_time() {
    const auto wake = std::chrono::ceil<milliseconds>(
        this->query.gather.next_wake() - this->query.at(0));
    this->now = std::max<int>(this->now, wake.count());
    this->query.gather.on_timer(this->query.at(this->now));
  }

  /// Answers a call, possibly one that was already answered or abandoned.
  void answer(Sent& sent) {
    this->now += this->random_below(3);
    const std::uint32_t how = this->random_below(12);
    if (how == 0) {
      this->query.answer(sent.call.sequence + 7777, body_of("foreign", 1),
                         this->now);
    } else if (how == 1) {
      this->query.answer(sent.call.sequence, "{", this->now);
    } else if (how < 6) {
      this->query.refuse(
          sent.call, kKinds[this->random_below(std::size(kKinds))], this->now);
    } else {
      this->query.answer(
          sent.call.sequence,
          body_of(sent.snapshot + "/" + std::to_string(sent.call.shard), 1),
          this->now);
    }
  }

  void check() {
    const PinnedSnapshot& pin = this->query.gather.pin();
    for (const PinnedSnapshot& each : this->pins) {
      for (const auto& leaf : *each.leafs) {
        cr_assert(leaf->calls_outstanding() == 0);
      }
    }
    cr_assert(this->query.gather.counts().calls <=
              Gather::kMaxAttempts * this->shards_of_both());
    const Result<QueryAnswer> answer = this->query.gather.take_result();
    if (!answer.has_value()) {
      cr_assert(answer.error().retry_after.has_value());
      return;
    }
    const Coverage& coverage = answer->coverage;
    cr_assert(answer->snapshot == pin.snapshot->name);
    cr_assert(coverage.total == pin.snapshot->shards.size());
    cr_assert(coverage.contributed.size() + coverage.missing.size() ==
              coverage.total);
    cr_assert(answer->hits.size() == coverage.contributed.size());
    for (const Hit& hit : answer->hits) {
      cr_assert("s" + hit.id.substr(hit.id.find('/') + 1) == hit.shard);
      cr_assert(hit.id.substr(0, hit.id.find('/')) == answer->snapshot);
      cr_assert(std::count(coverage.contributed.begin(),
                           coverage.contributed.end(), hit.shard) == 1);
    }
  }

  [[nodiscard]] std::size_t shards_of_both() const {
    return this->pins[0].snapshot->shards.size() +
           this->pins[1].snapshot->shards.size();
  }

  static constexpr std::uint64_t kRestartSequence = 500'000;

  pcg32 random;
  PinnedSnapshot pins[2];
  GatherFixture query;
  int now = 0;
  std::vector<Sent> sent;
  std::set<std::uint64_t> ids;
};

Test(gather_random, random_events_give_correct_coverage_and_end_all_calls) {
  for (std::uint64_t seed = 0; seed < 3000; ++seed) {
    RandomRun(seed).run();
  }
}

}  // namespace
}  // namespace ibismux::query
