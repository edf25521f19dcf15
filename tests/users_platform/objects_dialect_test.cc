#include "platform/objects_dialect.h"

#include <criterion/criterion.h>

#include "ibismux/http/message.h"

namespace ibismux::users_platform {
namespace {

const ObjectsDialect kDialect;

http::Response response(std::string body) {
  http::Response response;
  response.body = std::move(body);
  return response;
}

Test(objects_dialect, requests_are_spelled_as_the_store_reads_them) {
  cr_assert(kDialect.get("config", "main").target == "/objects/config/main");
  cr_assert(kDialect.list("servers", "").target == "/objects/servers");
  cr_assert(kDialect.list("servers", "i-1/x").target ==
            "/objects/servers?after=i-1%2Fx");
  cr_assert(
      kDialect.watch("servers", 530, std::chrono::milliseconds(20000)).target ==
      "/objects/servers?Watch=530&WaitMs=20000");
  cr_assert(kDialect.stale_list("servers", "").target ==
            "/objects/servers?Serializable=1");
  cr_assert(kDialect.stale_list("servers", "i-7").target ==
            "/objects/servers?after=i-7&Serializable=1");
  cr_assert(kDialect.stale_get("config", "main").target ==
            "/objects/config/main?Serializable=1");
  cr_assert(kDialect.stale_changes("servers", 7).target ==
            "/objects/servers?Watch=7&WaitMs=0&Serializable=1");
  cr_assert(kDialect.remove("k", "n", 7).target == "/objects/k/n?Revision=7");
}

Test(objects_dialect, a_write_carries_its_condition) {
  const http::Request fresh = kDialect.put("k", "n", "{\"a\":1}", 0);
  cr_assert(fresh.method == "POST" && fresh.target == "/objects/k");
  cr_assert(fresh.body == R"({"meta":{"Name":"n"},"spec":{"a":1}})");
  const http::Request next = kDialect.put("k", "n", "{\"a\":2}", 7);
  cr_assert(next.method == "PUT" && next.target == "/objects/k/n");
  cr_assert(next.body ==
            R"({"meta":{"Name":"n","Revision":7},"spec":{"a":2}})");
}

Test(objects_dialect, a_listing_in_pages) {
  const auto page = kDialect.read_listing(
      "servers",
      response(R"({"items":[{"meta":{"Name":"i-1","Revision":4},)"
               R"("spec":{"a":1},"status":null}],"HasMore":true,"AsOf":9})"));
  cr_assert(page.has_value());
  cr_assert(page->listing.version == 9);
  cr_assert(page->listing.objects.front().name == "i-1");
  cr_assert(page->listing.objects.front().version == 4);
  cr_assert(page->listing.objects.front().value == R"({"a":1})");
  cr_assert(page->next_after == "i-1");
}

Test(objects_dialect, the_last_page_says_so) {
  const auto page = kDialect.read_listing(
      "servers", response(R"({"items":[],"HasMore":false,"AsOf":9})"));
  cr_assert(page.has_value() && !page->next_after);
}

Test(objects_dialect, a_watch_brings_changes_and_removals) {
  const auto batch = kDialect.read_watch(
      "servers", 8,
      response(R"({"events":[{"Deleted":true,"Object":{"meta":)"
               R"({"Name":"i-1","Revision":9}}}],"AsOf":9})"));
  cr_assert(batch.has_value() && batch->version == 9);
  cr_assert(batch->events.front().removed);
}

Test(objects_dialect, answers_that_make_no_sense_are_refused) {
  for (const char* odd :
       {"", "[]", "{}", R"({"items":[]})", R"({"items":{},"AsOf":1})",
        R"({"items":[7],"AsOf":1})", R"({"items":[{}],"AsOf":1})"}) {
    cr_assert(!kDialect.read_listing("k", response(odd)).has_value());
  }
  for (const char* odd : {"", R"({"events":[]})", R"({"events":[{}],"AsOf":9})",
                          R"({"events":[],"AsOf":3})"}) {
    cr_assert(!kDialect.read_watch("k", 8, response(odd)).has_value());
  }
}

// Failure: a daemon knows no leaf, or keeps those of long ago.
Test(objects_dialect, one_odd_object_hides_no_other) {
  const std::string deep = std::string(500, '[') + std::string(500, ']');
  for (const std::string& odd :
       {std::string("\"\xff\xfe\""), deep, std::string("null"),
        std::string("[1,{}]"), std::string("-0.5e-7")}) {
    const std::string objects =
        R"({"meta":{"Name":"i-1","Revision":4},"spec":)" + odd +
        R"(},{"meta":{"Name":"i-2","Revision":5},"spec":{"a":1}})";
    const auto page = kDialect.read_listing(
        "k", response(R"({"items":[)" + objects + R"(],"AsOf":9})"));
    cr_assert(page.has_value(), "%s", odd.c_str());
    cr_assert(page->listing.objects.back().value == R"({"a":1})");
    const auto batch = kDialect.read_watch(
        "k", 3,
        response(R"({"events":[{"Object":)" +
                 objects.substr(0, objects.find("},{") + 1) +
                 R"(}],"AsOf":9})"));
    cr_assert(batch.has_value() && batch->events.size() == 1);
  }
}

Test(objects_dialect, contacts_are_read_as_hosts) {
  const auto hosts = kDialect.read_hosts(
      response(R"({"items":[{"meta":{"Name":"contact-0","Revision":4},"spec":)"
               R"({"name":"h1","peer_address":"10.0.0.1:7000","zone":"z",)"
               R"("leaving":false}}],"AsOf":9})"));
  cr_assert(hosts.has_value() && hosts->front().name == "h1");
  cr_assert(hosts->front().peer_address == "10.0.0.1:7000");
}

// Failure: a daemon that starts finds nobody.
Test(objects_dialect, an_unreadable_contact_hides_no_other) {
  const auto hosts = kDialect.read_hosts(response(
      R"({"items":[{"meta":{"Name":"contact-0","Revision":3},"spec":7})"
      R"(,{"meta":{"Name":"contact-1","Revision":4},"spec":)"
      R"({"name":"h1","peer_address":"10.0.0.1:7000","zone":"z",)"
      R"("leaving":false}}],"AsOf":9})"));
  cr_assert(hosts.has_value() && hosts->size() == 1);
  cr_assert(hosts->front().name == "h1");
}

// Guards against revisions of a restored store that pass for older ones.
Test(objects_dialect, each_answer_tells_how_often_the_store_was_restored) {
  http::Response answer = response("{}");
  cr_assert(kDialect.read_era(answer).value() == 0);
  answer.add("Store-Era", "3");
  cr_assert(kDialect.read_era(answer).value() == 3);
  for (const char* odd : {"-1", "x", "3 ", "1.5", "99999999999999999999"}) {
    http::Response refused = response("{}");
    refused.add("Store-Era", odd);
    cr_assert(!kDialect.read_era(refused).has_value(), "%s", odd);
  }
}

}  // namespace
}  // namespace ibismux::users_platform
