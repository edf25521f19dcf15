#include "ibismux/gather/gatherer_choice.h"

#include <criterion/criterion.h>

namespace ibismux::gather::testing {
namespace {

using std::chrono::milliseconds;

struct Fixture {
  TimePoint now = Clock::now();
  GathererChoice choice;
  std::uint64_t sequence = 0;

  void offer(const std::string& member, std::size_t room = 10) {
    this->choice.on_offer(member, ++this->sequence, room, this->now);
  }
  std::string chosen() {
    const auto pick = this->choice.choose(this->now);
    return pick ? pick->member : "";
  }
};

Test(gatherer_choice, without_offers_queries_are_gathered_here) {
  Fixture fixture;
  cr_assert(!fixture.choice.has_choice(fixture.now));
  cr_assert(fixture.chosen().empty());
}

Test(gatherer_choice, queries_are_spread_over_those_that_offer) {
  Fixture fixture;
  fixture.offer("a");
  fixture.offer("b");
  const std::string first = fixture.chosen();
  cr_assert(fixture.chosen() != first);
  fixture.choice.on_end("a");
  fixture.choice.on_end("b");
  const std::string third = fixture.chosen();
  fixture.choice.on_end(third);
  cr_assert(fixture.chosen() != third);
}

Test(gatherer_choice, one_strong_host_left_takes_no_more_than_it_offered) {
  Fixture fixture;
  fixture.offer("a", 2);
  cr_assert(fixture.chosen() == "a");
  cr_assert(fixture.chosen() == "a");
  cr_assert(fixture.chosen().empty());
}

Test(gatherer_choice, an_old_offer_counts_no_more) {
  Fixture fixture;
  fixture.offer("a");
  fixture.now += GathererChoice::kOfferHolds + milliseconds(1);
  cr_assert(fixture.chosen().empty());
}

Test(gatherer_choice, with_all_gatherers_stopping_nothing_is_handed_over) {
  Fixture fixture;
  fixture.offer("a");
  fixture.offer("b");
  fixture.offer("a", 0);
  fixture.offer("b", 0);
  cr_assert(fixture.chosen().empty());
}

Test(gatherer_choice, one_that_refuses_is_left_out_until_it_offers_again) {
  Fixture fixture;
  fixture.offer("a");
  cr_assert(fixture.chosen() == "a");
  fixture.choice.on_refused("a");
  cr_assert(fixture.chosen().empty());
  fixture.offer("a");
  cr_assert(fixture.chosen() == "a");
}

// Failure: each query waits for a peer that can be heard but not reached.
Test(gatherer_choice, one_that_stays_silent_is_tried_ever_more_seldom) {
  Fixture fixture;
  int tries = 0;
  for (int i = 0; i < 100; ++i) {
    fixture.offer("a");
    if (!fixture.chosen().empty()) {
      ++tries;
      fixture.choice.on_silent("a", fixture.now);
      fixture.choice.on_end("a");
    }
    fixture.now += milliseconds(100);
  }
  cr_assert(tries == 5, "%d", tries);
  fixture.now += std::chrono::seconds(4);
  fixture.offer("a");
  cr_assert(fixture.chosen() == "a");
  fixture.choice.on_taken("a");
  fixture.choice.on_silent("a", fixture.now);
  fixture.now += milliseconds(500);
  fixture.offer("a");
  cr_assert(fixture.chosen() == "a");
}

}  // namespace
}  // namespace ibismux::gather::testing
