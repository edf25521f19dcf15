#include "ibismux/edge/evacuation_feed.h"

#include <vector>

#include <criterion/criterion.h>

namespace ibismux::edge::testing {
namespace {

struct Fixture {
  std::vector<ZoneNames> updates;
  EvacuationFeed feed{
      [this](const ZoneNames& zones) { this->updates.push_back(zones); },
      [] {}};

  void list(const ZoneNames& zones) {
    store::Listing listing;
    for (const std::string& zone : zones) {
      listing.objects.push_back(object(zone));
    }
    this->feed.on_listing(listing);
  }

  void change(const std::string& zone, bool removed) {
    this->feed.on_change({object(zone), removed});
  }

  static store::StoredObject object(const std::string& zone) {
    store::StoredObject object;
    object.name = zone;
    object.value = "{}";
    return object;
  }
};

Test(evacuation_feed, follows_listings_and_changes) {
  Fixture fixture;
  fixture.list({"z1"});
  fixture.change("z2", false);
  fixture.change("z1", true);
  cr_assert(fixture.updates ==
            std::vector<ZoneNames>({{"z1"}, {"z1", "z2"}, {"z2"}}));
}

Test(evacuation_feed, zone_missing_from_listing_is_no_longer_evacuated) {
  Fixture fixture;
  fixture.list({"z1", "z2"});
  fixture.list({"z2"});
  cr_assert(fixture.updates.back() == ZoneNames({"z2"}));
}

Test(evacuation_feed, unchanged_set_is_not_reported) {
  Fixture fixture;
  fixture.list({});
  fixture.change("z1", true);
  cr_assert(fixture.updates.empty());
}

Test(evacuation_feed, losing_the_store_changes_nothing) {
  Fixture fixture;
  fixture.list({"z1"});
  fixture.feed.on_lost();
  fixture.feed.on_regained();
  cr_assert(fixture.updates.size() == 1);
}

}  // namespace
}  // namespace ibismux::edge::testing
