#include "ibismux/checkpoint/leaf_checkpoint.h"

#include <criterion/criterion.h>

namespace ibismux::checkpoint {
namespace {

directory::LeafEntry leaf(std::string id, std::string service) {
  directory::LeafEntry entry;
  entry.run = {std::move(id), std::chrono::milliseconds(1'700'000'000'123)};
  entry.sequence = 7;
  entry.service = std::move(service);
  entry.address = "10.0.0.1";
  entry.port = 7740;
  entry.zone = "z1";
  entry.slots = 4;
  return entry;
}

LeafCheckpoint three_leafs() {
  return {{leaf("a", "s1"), leaf("b", "s1"), leaf("c", "s2")}};
}

/// A checkpoint of one leaf, whose members `leaf` gives.
std::string of_service(const std::string& leaf) {
  return R"({"services":{"s1":[)" + leaf + "]}}";
}

Test(leaf_checkpoint, passes_through_its_value) {
  const auto back = decode_leaf_checkpoint(encode(three_leafs()));
  cr_assert(back.has_value());
  cr_assert(back->leafs == three_leafs().leafs);
  const auto empty = decode_leaf_checkpoint(encode({}));
  cr_assert(empty.has_value());
  cr_assert(empty->leafs.empty());
}

Test(leaf_checkpoint, members_of_later_versions_are_ignored) {
  const auto back = decode_leaf_checkpoint(
      R"({"format":2,"services":{"s1":[{"id":"a","start_ms":0,"seq":0,)"
      R"("address":"10.0.0.1","port":1,"zone":"","slots":1,"rack":"r"}]}})");
  cr_assert(back.has_value());
  cr_assert(back->leafs.size() == 1);
}

Test(leaf_checkpoint, what_is_malformed_is_refused_with_a_reason) {
  const std::string good =
      R"({"id":"a","start_ms":1,"seq":1,"address":"10.0.0.1","port":1,)"
      R"("zone":"z","slots":1})";
  cr_assert(decode_leaf_checkpoint(of_service(good)).has_value());
  std::string twice = good;
  twice += ',';
  twice += good;
  for (const std::string& value :
       {std::string(), std::string("[]"), std::string("{}"),
        std::string(R"({"services":[]})"), of_service("3"), of_service("{}"),
        of_service(twice),
        of_service(R"({"id":"","start_ms":1,"seq":1,"address":"10.0.0.1",)"
                   R"("port":1,"zone":"z","slots":1})"),
        of_service(R"({"id":"a","start_ms":-1,"seq":1,"address":"10.0.0.1",)"
                   R"("port":1,"zone":"z","slots":1})"),
        of_service(R"({"id":"a","start_ms":1,"seq":1,"address":"10.0.0.1",)"
                   R"("port":65536,"zone":"z","slots":1})"),
        of_service(R"({"id":"a","start_ms":1,"seq":1,"address":"10.0.0.1",)"
                   R"("port":1,"zone":"z","slots":0})")}) {
    const auto back = decode_leaf_checkpoint(value);
    cr_assert(!back.has_value(), "%s", value.c_str());
    cr_assert(back.error().kind == ErrorKind::kProtocolError);
  }
}

// Guards against a write for each heartbeat.
Test(leaf_checkpoint, a_renewed_entry_is_no_difference_and_a_new_run_is) {
  LeafCheckpoint other = three_leafs();
  std::swap(other.leafs[0], other.leafs[2]);
  other.leafs[1].sequence = 8;
  other.leafs[1].warmup_left = std::chrono::milliseconds(500);
  cr_assert(have_same_leafs(three_leafs(), other));
  ++other.leafs[1].port;
  cr_assert(!have_same_leafs(three_leafs(), other));
  other = three_leafs();
  ++other.leafs[0].run.started;
  cr_assert(!have_same_leafs(three_leafs(), other));
}

}  // namespace
}  // namespace ibismux::checkpoint
