#include "ibismux/query/hit_merger.h"

#include <criterion/criterion.h>

namespace ibismux::query {
namespace {

Test(hit_merger, keeps_the_best_by_score_then_id) {
  HitMerger merger(3);
  cr_assert(merger.merge(
      R"({"hits":[{"id":"b","score":2,"text":"x"},{"id":"d","score":1.5,"text":""}]})",
      "s1"));
  cr_assert(merger.merge(
      R"({"hits":[{"id":"a","score":2.0,"text":"y"},{"id":"c","score":9,"text":""}]})",
      "s2"));
  const std::vector<Hit> hits = merger.take();
  cr_assert(hits.size() == 3);
  cr_assert(hits[0].id == "c" && hits[1].id == "a" && hits[2].id == "b");
  cr_assert(hits[0].shard == "s2" && hits[2].shard == "s1");
}

Test(hit_merger, a_malformed_body_adds_no_hits) {
  const char* const bodies[] = {
      "",
      "{",
      "[]",
      R"({"hits":{}})",
      R"({"hits":[1]})",
      R"({"hits":[{"id":"a","score":"1","text":""}]})",
      R"({"hits":[{"id":"a","score":1,"text":""},{"id":"b"}]})",
      R"({"hits":[{"id":"a","score":1e999,"text":""}]})",
      R"({"hits":[]} x)",
      R"({"other":[]})",
      R"({"hits":[[]]})",
      R"({"hits":null})",
      R"({"hits":[],"hits":1})",
      R"({"hits":[{"id":"a","score":1,"text":{"id":"b"}}]})",
      R"({"hits":[{"id":["a"],"score":1,"text":""}]})",
      R"({"hits":[{"id":"a","score":1,"text":"\ud800"}]})",
      R"("hits")",
  };
  for (const char* const body : bodies) {
    HitMerger merger(3);
    cr_assert(!merger.merge(body, "s1"), "%s", body);
    cr_assert(merger.take().empty());
  }
}

Test(hit_merger, unknown_members_are_ignored_and_escapes_are_decoded) {
  HitMerger merger(3);
  cr_assert(merger.merge(
      R"({"took":{"hits":[1],"id":2},"hits":[{"more":{"id":3,"text":[4]},)"
      R"("text":"a\u00e9\n\"b","id":"x","other":null,"score":-1e2},)"
      R"({"id":"","score":18446744073709551615,"text":""}],"end":["id"]})",
      "s1"));
  const std::vector<Hit> hits = merger.take();
  cr_assert(hits.size() == 2);
  cr_assert(hits[0].id.empty() && hits[0].score > 1e19);
  cr_assert(hits[1].id == "x" && hits[1].score == -100);
  cr_assert(hits[1].text == "a\u00e9\n\"b");
}

Test(hit_merger, an_empty_list_of_hits_is_valid) {
  HitMerger merger(3);
  cr_assert(merger.merge(R"({"hits":[]})", "s1"));
  cr_assert(merger.take().empty());
}

}  // namespace
}  // namespace ibismux::query
