#include "ibismux/release/object_codec.h"

#include "tests/release/sample_objects.h"

#include <boost/json/serialize.hpp>

#include <criterion/criterion.h>

namespace ibismux::release {
namespace {

struct BadCase {
  const char* json;
  const char* message;
};

constexpr const char* kLongReason =
    "an array of names, each 1 to 128 of A-Z a-z 0-9 . _ -";

const BadCase kBadCases[] = {
    {"[]", "an object must be a JSON object"},
    {"{", "not JSON: incomplete JSON"},
    {"{'kind':'shart','name':'s','spec':{}}",
     "shart/s: kind must be one of \"query_service\", \"shard\", "
     "\"backend_server\", \"snapshot\", \"limit_policy\""},
    {"{'kind':'shard','name':'a/b','spec':{}}",
     "shard/a/b: name must be 1 to 128 of A-Z a-z 0-9 . _ -"},
    {"{'kind':'shard','name':'s'}",
     "shard/s: spec must be given; it is required"},
    {"{'kind':'shard','name':'s','spec':{'service':'x','replicas':['a'],"
     "'size':1}}",
     "shard/s: spec: size must be absent; the fields are service, begin, end, "
     "replicas"},
    {"{'kind':'shard','name':'s','spec':{'service':'x','replicas':['a'],"
     "'begin':5,'end':5}}",
     "shard/s: spec: end must be greater than begin (5)"},
    {"{'kind':'shard','name':'s','spec':{'service':'x','replicas':['a'],"
     "'end':65537}}",
     "shard/s: spec: end must be a whole number from 1 to 65536"},
    {"{'kind':'shard','name':'s','spec':{'service':'x','replicas':['a','a']}}",
     "shard/s: spec: replicas must be an array that names each object once; "
     "\"a\" stands in it twice"},
    {"{'kind':'shard','name':'s','spec':{'service':'x','replicas':[1]}}",
     nullptr},
    {"{'kind':'backend_server','name':'b','spec':{'address':'leaf.example',"
     "'port':1,'zone':'z'}}",
     "backend_server/b: spec: address must be the IP number of one host, such "
     "as 10.0.0.7"},
    {"{'kind':'backend_server','name':'b','spec':{'address':'::1',"
     "'port':0,'zone':'z'}}",
     "backend_server/b: spec: port must be a whole number from 1 to 65535"},
    {"{'kind':'query_service','name':'q','spec':{'min_coverage':1.5}}",
     "query_service/q: spec: min_coverage must be a number from 0 to 1"},
    {"{'kind':'query_service','name':'q','spec':{'deadline_ms':-1}}",
     "query_service/q: spec: deadline_ms must be a whole number from 1 to "
     "3600000"},
    {"{'kind':'query_service','name':'q','spec':{'deadline_ms':50,"
     "'answer_by_ms':60}}",
     "query_service/q: spec: answer_by_ms must be at most deadline_ms (50)"},
    {"{'kind':'query_service','name':'q','spec':{'priority':'urgent'}}",
     "query_service/q: spec: priority must be one of \"diagnostic\", "
     "\"bench\", \"catalogue\", \"editor\""},
    {"{'kind':'snapshot','name':'v','spec':{'service':'q','sequence':1.5,"
     "'shards':['s']}}",
     "snapshot/v: spec: sequence must be a whole number from 1 to "
     "9007199254740991"},
    {"{'kind':'limit_policy','name':'l','spec':{'rates':[{'limit':0}]}}",
     "limit_policy/l: spec: rates must be valid (rates: limit must be a whole "
     "number from 1 to 1000000000)"},
};

std::string quoted(std::string json) {
  for (char& c : json) {
    c = c == '\'' ? '"' : c;
  }
  return json;
}

Test(object_codec, names_the_object_the_field_and_what_is_allowed) {
  for (const BadCase& bad : kBadCases) {
    const auto record = parse_object(quoted(bad.json));
    cr_assert(!record, "accepted: %s", bad.json);
    const std::string want =
        bad.message != nullptr
            ? bad.message
            : std::string("shard/s: spec: replicas must be ") + kLongReason;
    cr_assert(record.error().message == want, "%s instead of %s",
              record.error().message.c_str(), want.c_str());
  }
}

Test(object_codec, reads_back_what_it_writes) {
  for (const char* json : testing::kAllSamples) {
    ObjectRecord record = testing::record_of(json);
    record.change_id = "c1";
    record.who = "ana";
    record.at_ms = 12;
    const auto again =
        parse_object(boost::json::serialize(object_to_json(record)));
    cr_assert(again && again->spec == record.spec);
    cr_assert(again->key == record.key && again->who == "ana");
  }
}

Test(object_codec, reads_a_tombstone) {
  const auto record = parse_object(
      quoted("{'kind':'shard','name':'s','deleted':true,"
             "'meta':{'change_id':'c','operator':'ana','at_ms':5}}"));
  cr_assert(record && record->deleted && record->change_id == "c");
}

Test(object_codec, spells_an_address_one_way) {
  const auto record =
      parse_object(quoted("{'kind':'backend_server','name':'b','spec':{"
                          "'address':'0:0:0:0:0:0:0:1','port':1,'zone':'z'}}"));
  cr_assert(std::get<BackendServer>(record->spec).address == "::1");
}

}  // namespace
}  // namespace ibismux::release
