#include "ibismux/http/path_pattern.h"

#include <criterion/criterion.h>

using ibismux::http::match_path;

namespace {

using Names = std::vector<std::string>;

}  // namespace

Test(http_path_pattern, names_stand_in_the_places_of_the_braces) {
  cr_assert(match_path("/v1/{kind}/{name}", {"v1", "shard", "a/b"}) ==
            Names({"shard", "a/b"}));
  cr_assert(match_path("/v1", {"v1"}) == Names());
  cr_assert(match_path("/v1/{kind}/status", {"v1", "", "status"}) ==
            Names({""}));
}

Test(http_path_pattern, another_path_does_not_match) {
  for (const Names& parts : {Names(), Names({"v1"}), Names({"v2", "x"}),
                             Names({"v1", "x", ""}), Names({"v1", "x", "y"})}) {
    cr_assert(!match_path("/v1/{kind}", parts));
  }
}
