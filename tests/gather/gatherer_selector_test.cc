#include "ibismux/gather/gatherer_selector.h"

#include <criterion/criterion.h>

namespace ibismux::gather::testing {
namespace {

using std::chrono::milliseconds;

struct Fixture {
  TimePoint now = Clock::now();
  GathererSelector selector;
  std::uint64_t sequence = 0;

  void offer(const std::string& member,
             std::size_t room = 10,
             bool reads_customer = true) {
    this->selector.on_offer(member, ++this->sequence, room, reads_customer,
                            this->now);
  }
  void distant_offer(const std::string& member) {
    this->selector.on_distant_offer(member, ++this->sequence, 10,
                                    milliseconds(7), this->now);
  }
  std::string chosen(bool has_customer = false, bool stays_in_zone = false) {
    const auto selection =
        this->selector.select({has_customer, stays_in_zone}, this->now);
    return selection ? selection->member : "";
  }
};

Test(gatherer_selector, without_offers_no_peer_is_selected) {
  Fixture fixture;
  cr_assert(!fixture.selector.has_candidate({}, fixture.now));
  cr_assert(fixture.chosen().empty());
}

Test(gatherer_selector, queries_are_spread_over_peers_with_offers) {
  Fixture fixture;
  fixture.offer("a");
  fixture.offer("b");
  const std::string first = fixture.chosen();
  cr_assert(fixture.chosen() != first);
  fixture.selector.on_end("a");
  fixture.selector.on_end("b");
  const std::string third = fixture.chosen();
  fixture.selector.on_end(third);
  cr_assert(fixture.chosen() != third);
}

Test(gatherer_selector, a_peer_gets_no_more_queries_than_it_offered) {
  Fixture fixture;
  fixture.offer("a", 2);
  cr_assert(fixture.chosen() == "a");
  cr_assert(fixture.chosen() == "a");
  cr_assert(fixture.chosen().empty());
}

// Guards against calls to leafs without the customer, by a peer of an older
// build that doesn't know of customers.
Test(gatherer_selector, a_peer_that_reads_no_customers_gets_none) {
  Fixture fixture;
  fixture.offer("old", 10, false);
  cr_assert(fixture.chosen(true).empty());
  cr_assert(!fixture.selector.has_candidate({true, false}, fixture.now));
  cr_assert(fixture.chosen(false) == "old");
  fixture.offer("new");
  cr_assert(fixture.chosen(true) == "new");
}

Test(gatherer_selector, an_expired_offer_is_ignored) {
  Fixture fixture;
  fixture.offer("a");
  fixture.now += GathererSelector::kOfferLifetime + milliseconds(1);
  cr_assert(fixture.chosen().empty());
}

Test(gatherer_selector, withdrawn_offers_are_ignored) {
  Fixture fixture;
  fixture.offer("a");
  fixture.offer("b");
  fixture.offer("a", 0);
  fixture.offer("b", 0);
  cr_assert(fixture.chosen().empty());
}

Test(gatherer_selector, a_refusing_peer_is_skipped_until_its_next_offer) {
  Fixture fixture;
  fixture.offer("a");
  cr_assert(fixture.chosen() == "a");
  fixture.selector.on_refused("a");
  cr_assert(fixture.chosen().empty());
  fixture.offer("a");
  cr_assert(fixture.chosen() == "a");
}

Test(gatherer_selector, peers_of_other_zones_come_after_those_of_this_zone) {
  Fixture fixture;
  fixture.distant_offer("far");
  fixture.offer("near", 1);
  cr_assert(fixture.chosen() == "near");
  cr_assert(fixture.chosen() == "far");
}

// Guards against calls to leafs of zones that a query may not be sent to.
Test(gatherer_selector, a_query_that_stays_in_its_zone_goes_to_no_other) {
  Fixture fixture;
  fixture.distant_offer("far");
  cr_assert(fixture.chosen(false, true).empty());
  cr_assert(!fixture.selector.has_candidate({false, true}, fixture.now));
}

Test(gatherer_selector, the_way_to_another_zone_is_measured) {
  Fixture fixture;
  fixture.distant_offer("far");
  const auto selection = fixture.selector.select({}, fixture.now);
  cr_assert(selection->round_trip == milliseconds(7));
}

// Guards against a wait in each query for a peer whose offers arrive but which
// does not receive queries.
Test(gatherer_selector, an_unresponsive_peer_is_retried_with_backoff) {
  Fixture fixture;
  int tries = 0;
  for (int i = 0; i < 100; ++i) {
    fixture.offer("a");
    if (!fixture.chosen().empty()) {
      ++tries;
      fixture.selector.on_unresponsive("a", fixture.now);
      fixture.selector.on_end("a");
    }
    fixture.now += milliseconds(100);
  }
  cr_assert(tries == 5, "%d", tries);
  fixture.now += std::chrono::seconds(4);
  fixture.offer("a");
  cr_assert(fixture.chosen() == "a");
  fixture.selector.on_taken("a");
  fixture.selector.on_unresponsive("a", fixture.now);
  fixture.now += milliseconds(500);
  fixture.offer("a");
  cr_assert(fixture.chosen() == "a");
}

}  // namespace
}  // namespace ibismux::gather::testing
