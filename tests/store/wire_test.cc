#include "ibismux/store/wire.h"

#include <algorithm>
#include <pcg_random.hpp>
#include <random>

#include <criterion/criterion.h>

namespace ibismux::store::wire {
namespace {

const std::string kListing =
    R"({"version":9,"objects":[{"name":"a","version":3,"value":"x"},)"
    R"({"name":"b","version":9,"value":"\u0000y"}]})";
const std::string kWatch =
    R"({"version":9,"events":[{"name":"a","version":8,"removed":false,)"
    R"("value":"x"},{"name":"b","version":9,"removed":true}]})";
const std::string kHosts =
    R"({"hosts":[{"name":"h","peer_address":"1.2.3.4:5","zone":"z",)"
    R"("leaving":false}]})";

bool malformed(const auto& result) {
  return !result && result.error().kind == ErrorKind::kProtocolError &&
         result.error().execution == Execution::kUnknown;
}

std::string replaced(std::string text,
                     const std::string& what,
                     const std::string& with) {
  return text.replace(text.find(what), what.size(), with);
}

bool sound(const StoredObject& object, Version newest) {
  return !object.name.empty() && object.name.size() <= kMostNameBytes &&
         object.version > 0 && object.version <= newest &&
         object.value.size() <= kMostValueBytes;
}

bool sound(const Result<Listing>& listing) {
  return !listing ||
         std::all_of(listing->objects.begin(), listing->objects.end(),
                     [&](const StoredObject& object) {
                       return sound(object, listing->version);
                     });
}

bool sound(const Result<WatchBatch>& batch, Version since) {
  return !batch || (batch->version >= since &&
                    std::all_of(batch->events.begin(), batch->events.end(),
                                [&](const WatchBatch::Event& event) {
                                  return sound(event.object, batch->version);
                                }));
}

/// Cuts, flips, doubles or swaps a few pieces of `text`.
std::string garbled(std::string text, pcg32& random) {
  static const std::string kPieces[] = {"null", "-1",   "1e999", "{}", "[]",
                                        "\"",   "\xff", "\\u",   ",",  "9"};
  const auto below = [&random](std::size_t most) {
    return std::uniform_int_distribution<std::size_t>(0, most)(random);
  };
  for (std::size_t edits = 1 + below(3); edits > 0; --edits) {
    const std::size_t at = below(text.size());
    switch (below(3)) {
      case 0:
        text.resize(at);
        break;
      case 1:
        text.insert(at, kPieces[below(std::size(kPieces) - 1)]);
        break;
      case 2:
        text.insert(at, text.substr(at, below(30)));
        break;
      default:
        text.replace(at, below(5), kPieces[below(std::size(kPieces) - 1)]);
    }
  }
  return text;
}

std::size_t unsound_answers(std::uint64_t seed, int rounds) {
  pcg32 random(seed);
  std::size_t unsound = 0;
  for (int i = 0; i < rounds; ++i) {
    unsound += sound(parse_listing("c", garbled(kListing, random))) ? 0 : 1;
    unsound += sound(parse_watch("c", 7, garbled(kWatch, random)), 7) ? 0 : 1;
    const auto hosts = parse_hosts(garbled(kHosts, random));
    unsound += hosts && !hosts->empty() && hosts->front().name.empty() ? 1 : 0;
  }
  return unsound;
}

Test(wire, targets_are_escaped) {
  cr_assert(object_target("c", "a/b %\xff") == "/v1/objects/c/a%2Fb%20%25%FF");
  cr_assert(watch_target("c", 7, std::chrono::milliseconds(5)) ==
            "/v1/watch/c?since=7&wait_ms=5");
}

Test(wire, good_answers_are_read) {
  const auto listing = parse_listing("c", kListing);
  cr_assert(listing->version == 9 && listing->objects.size() == 2);
  cr_assert(listing->objects[1].value == std::string("\0y", 2));
  const auto batch = parse_watch("c", 7, kWatch);
  cr_assert(batch->events[1].removed && batch->events[1].object.version == 9);
  cr_assert(parse_hosts(kHosts)->front().zone == "z");
  cr_assert(parse_etag("\"12\"").value() == 12);
  cr_assert(parse_etag("12").value() == 12);
}

Test(wire, an_etag_that_is_no_version_is_refused) {
  for (const char* etag : {"", "\"\"", "\"", "0", "-1", "12x", " 12", "W/\"1\"",
                           "18446744073709551616"}) {
    cr_assert(malformed(parse_etag(etag)), "%s", etag);
  }
}

Test(wire, odd_bodies_are_refused) {
  for (const char* body :
       {"", "null", "[]", "{}", "{\"version\":1", "{\"version\":-1}",
        "{\"version\":1.5}", "{\"version\":\"1\"}", "{\"version\":1e30}"}) {
    cr_assert(malformed(parse_version(body)), "%s", body);
    cr_assert(malformed(parse_listing("c", body)), "%s", body);
    cr_assert(malformed(parse_watch("c", 0, body)), "%s", body);
    cr_assert(malformed(parse_hosts(body)), "%s", body);
  }
}

Test(wire, one_bad_row_refuses_the_whole_answer) {
  for (const char* name : {"\"\"", "1", "null"}) {
    cr_assert(malformed(parse_listing("c", replaced(kListing, "\"a\"", name))));
  }
  cr_assert(malformed(
      parse_listing("c", replaced(kListing, "\"version\":3", "\"v\":3"))));
  cr_assert(malformed(
      parse_listing("c", replaced(kListing, "\"value\":\"x\"", "\"v\":1"))));
  cr_assert(malformed(
      parse_watch("c", 7, replaced(kWatch, "\"removed\":true", "\"r\":1"))));
  cr_assert(malformed(
      parse_hosts(replaced(kHosts, "\"leaving\":false", "\"leaving\":0"))));
}

// Failure: a change is never seen until the next full listing.
Test(wire, a_row_newer_than_its_answer_is_refused) {
  cr_assert(malformed(parse_listing(
      "c", replaced(kListing, "\"version\":9", "\"version\":2"))));
  cr_assert(malformed(parse_watch("c", 10, kWatch)), "it went back");
}

Test(wire, garbled_answers_never_give_unsound_objects) {
  cr_assert(unsound_answers(1, 20'000) == 0);
  cr_assert(unsound_answers(2, 20'000) == 0);
}

}  // namespace
}  // namespace ibismux::store::wire
