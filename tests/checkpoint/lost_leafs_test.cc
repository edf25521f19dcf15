#include "ibismux/checkpoint/lost_leafs.h"

#include <criterion/criterion.h>

#include <string_view>

#include "ibismux/checkpoint/leaf_checkpoint.h"

namespace ibismux::checkpoint {
namespace {

using Leafs = std::vector<directory::LeafEntry>;

/// Leafs of one service, with ids of one letter each.
Leafs leafs(const std::string& service, std::string_view ids) {
  Leafs leafs;
  for (const char id : ids) {
    directory::LeafEntry entry;
    entry.run.id = std::string(1, id);
    entry.service = service;
    leafs.push_back(std::move(entry));
  }
  return leafs;
}

Leafs operator+(Leafs one, const Leafs& other) {
  one.insert(one.end(), other.begin(), other.end());
  return one;
}

const Leafs kNone;

// The load: the registry was away for longer than its entries live, and all
// daemons start.
Test(lost_leafs, all_are_lost_if_none_is_listed) {
  const LeafCheckpoint checkpoint{leafs("s1", "abc") + leafs("s2", "d")};
  cr_assert(lost_leafs(checkpoint, kNone) == checkpoint.leafs);
}

// The same load, when some leafs have written their entries again.
Test(lost_leafs, the_rest_is_lost_if_fewer_than_half_are_listed) {
  const LeafCheckpoint checkpoint{leafs("s1", "abcd")};
  cr_assert(lost_leafs(checkpoint, leafs("s1", "b")) == leafs("s1", "acd"));
}

// The load: daemons start while some leafs of each service have left.
Test(lost_leafs, leafs_have_left_if_half_of_their_service_is_listed) {
  const LeafCheckpoint checkpoint{leafs("s1", "abcd") + leafs("s2", "ef")};
  cr_assert(lost_leafs(checkpoint, leafs("s1", "ab") + leafs("s2", "e")) ==
            kNone);
}

Test(lost_leafs, services_are_judged_one_by_one) {
  const LeafCheckpoint checkpoint{leafs("s1", "abc") + leafs("s2", "def")};
  cr_assert(lost_leafs(checkpoint, leafs("s1", "abc")) == leafs("s2", "def"));
}

// Guards against adopting the former run of a leaf that is listed.
Test(lost_leafs, a_leaf_that_is_listed_for_another_service_is_not_lost) {
  const LeafCheckpoint checkpoint{leafs("s1", "abc")};
  cr_assert(lost_leafs(checkpoint, leafs("s2", "a")) == leafs("s1", "bc"));
}

// Guards against calls to leafs that have been replaced since the checkpoint
// was written.
Test(lost_leafs, leafs_that_the_checkpoint_lacks_count_as_listed) {
  const LeafCheckpoint checkpoint{leafs("s1", "ab")};
  cr_assert(lost_leafs(checkpoint, leafs("s1", "xyz")) == kNone);
  cr_assert(lost_leafs(checkpoint, leafs("s1", "x")) == kNone);
}

Test(lost_leafs, an_empty_checkpoint_has_none) {
  cr_assert(lost_leafs({}, leafs("s1", "a")) == kNone);
}

}  // namespace
}  // namespace ibismux::checkpoint
