#include <array>
#include <atomic>
#include <string>
#include <thread>

#include "tests/process/declared_site.h"
#include "tests/process/recorded_load.h"
#include "tests/support/peer_cut.h"

#include <criterion/criterion.h>

namespace ibismux {
namespace {

using testing::PeerCut;
using testing::wait_until;

constexpr std::size_t kDaemons = 4;

/// Four daemons, of which 0 and 1 can be cut off from 2 and 3.
struct Halves {
  void part(PeerCut::Mode mode) { this->network.cut(mode, {0, 1}); }

  bool come_to_see(std::size_t count) {
    return this->site.come_to_see({0, 1, 2, 3}, count);
  }
  bool all_come_to_have(int deadline) {
    bool all = true;
    for (std::size_t i = 0; i < kDaemons; ++i) {
      all = all && this->site.comes_to_be_in_force(i, deadline);
    }
    return all;
  }
  bool all_come_to_answer() { return this->site.come_to_answer({0, 1, 2, 3}); }
  /// Whether status says on each that all daemons have the object.
  bool come_to_say_all(const std::string& name) {
    return wait_until([this, &name] {
      for (std::size_t i = 0; i < kDaemons; ++i) {
        if (this->site.reached(i, "query_service:" + name) != kDaemons) {
          return false;
        }
      }
      return true;
    });
  }
  bool write(std::size_t daemon, const std::string& name, int deadline) {
    return wait_until([this, daemon, name, deadline] {
      const auto answer = this->site.declare(daemon, "query_service:" + name,
                                             with_deadline(deadline));
      return answer.status == 200 || answer.status == 201;
    });
  }

  PeerCut network;
  DeclaredSite site{kDaemons, &network};
};

/// Looks at all daemons all the time: neither their generation nor the
/// deadline in force, which the test only raises, ever goes back.
class Watch {
 public:
  explicit Watch(DeclaredSite& site)
      : site(site), thread([this] { this->look(); }) {}
  ~Watch() { this->end(); }

  /// @return Whether nothing went back, and each was looked at.
  bool end() {
    if (this->thread.joinable()) {
      this->done = true;
      this->thread.join();
    }
    return this->looks > 0 && !this->reverted && this->failure.empty();
  }

  /// What kept a daemon from being looked at, with the logs of all; empty if
  /// nothing did. Precondition: `end()` was called.
  [[nodiscard]] const std::string& why_failed() const { return this->failure; }

 private:
  void look() {
    try {
      while (!this->done) {
        for (std::size_t i = 0; i < kDaemons; ++i) {
          this->look_at(i);
        }
        ++this->looks;
      }
    } catch (const std::exception& error) {
      // Thrown on this thread, it would end the test without a word on which
      // daemon did not answer.
      this->failure = std::string(error.what()) + "\n" + this->site.logs();
    }
  }

  void look_at(std::size_t daemon) {
    const auto generation = this->site.generation(daemon);
    const auto deadline = this->site.deadline_ms(daemon, "rising");
    this->reverted = this->reverted || generation < this->generations[daemon] ||
                     deadline < this->deadlines[daemon];
    this->generations[daemon] = generation;
    this->deadlines[daemon] = deadline;
  }

  DeclaredSite& site;
  std::atomic<bool> done = false;
  std::atomic<bool> reverted = false;
  std::atomic<int> looks = 0;
  /// @name Of the watching thread until it has ended
  /// @{
  std::array<std::uint64_t, kDaemons> generations{};
  std::array<std::int64_t, kDaemons> deadlines{};
  std::string failure;
  /// @}
  std::thread thread;
};

// Failure: one half's change is never in force in the other, or undone.
Test(partition, changes_of_both_halves_come_into_force_in_both) {
  Halves halves;
  cr_assert(halves.come_to_see(kDaemons));
  Watch watch(halves.site);
  halves.part(PeerCut::Mode::kReset);
  cr_assert(halves.come_to_see(kDaemons / 2));
  for (int i = 0; i < 4; ++i) {
    cr_assert(halves.write(i, "rising", 2000 + i));
    cr_assert(halves.write(kDaemons - 1 - i, "manuals", 4000 + i));
    cr_assert(halves.all_come_to_have(4000 + i));
  }
  halves.network.heal();
  cr_assert(halves.come_to_see(kDaemons));
  cr_assert(halves.come_to_say_all("manuals"));
  cr_assert(halves.come_to_say_all("rising"));
  cr_assert(watch.end(), "something went back, or did not answer: %s",
            watch.why_failed().c_str());
  cr_assert(halves.site.deadline_ms(0, "rising") == 2003);
  cr_assert(halves.site.deadline_ms(3, "manuals") == 4003);
}

// Failure: a silent cut doubles an order or falsifies an answer.
Test(partition, a_silent_cut_doubles_nothing_and_tells_the_truth) {
  Halves halves;
  cr_assert(halves.come_to_see(kDaemons));
  cr_assert(halves.site.comes_to_answer_in_part());
  RecordedLoad load(halves.site, {0, 1, 2, 3}, 21, 12);
  cr_assert(halves.site.come_to_run(0));
  halves.part(PeerCut::Mode::kStall);
  cr_assert(halves.come_to_see(kDaemons / 2));
  cr_assert(halves.all_come_to_answer());
  halves.network.heal();
  cr_assert(halves.come_to_see(kDaemons));
  cr_assert(load.end() > 0);
  cr_assert(halves.all_come_to_answer());
  RecordedLoad later(halves.site, {0, 1, 2, 3}, 22, 2);
  cr_assert(later.end() > 0);
  const std::string violations = violations_in(
      {load.history(), later.history(), halves.site.leaf_history()});
  cr_assert(violations.empty(), "%s", violations.c_str());
}

// Failure: a partition without the platform loses what was accepted.
Test(partition, halves_without_the_platform_keep_what_was_accepted) {
  Halves halves;
  cr_assert(halves.write(0, "manuals", 4000));
  cr_assert(halves.all_come_to_have(4000));
  const auto generation = halves.site.generation(0);
  halves.part(PeerCut::Mode::kReset);
  halves.site.platform_faults(R"({"store_outage":true})");
  cr_assert(halves.come_to_see(kDaemons / 2));
  for (std::size_t restarted : {1, 3}) {
    halves.site.replace_daemon(restarted);
    cr_assert(halves.site.wait_until_ready(restarted));
    cr_assert(halves.site.generation(restarted) == generation);
  }
  cr_assert(halves.all_come_to_answer());
  halves.network.heal();
  cr_assert(halves.come_to_see(kDaemons));
  cr_assert(halves.all_come_to_have(4000));
  halves.site.platform_faults(R"({"store_outage":false})");
  cr_assert(halves.write(3, "manuals", 4001));
  cr_assert(halves.all_come_to_have(4001));
  cr_assert(halves.come_to_say_all("manuals"));
}

}  // namespace
}  // namespace ibismux
