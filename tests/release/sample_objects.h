#ifndef IBISMUX_TESTS_RELEASE_SAMPLE_OBJECTS_H_
#define IBISMUX_TESTS_RELEASE_SAMPLE_OBJECTS_H_

#include <cstdlib>
#include <memory>
#include <string>

#include "ibismux/release/object_codec.h"
#include "ibismux/release/object_set.h"

namespace ibismux::release::testing {

/// The object that `json` describes, which must be valid. Single quotes stand
/// for double ones.
inline ObjectRecord record_of(std::string json) {
  for (char& c : json) {
    c = c == '\'' ? '"' : c;
  }
  const Result<ObjectRecord> record = parse_object(json);
  if (!record) {
    std::abort();
  }
  return *record;
}

inline void put(ObjectSet& objects,
                const std::string& json,
                store::Version version) {
  const ObjectRecord record = record_of(json);
  objects[record.key] =
      AcceptedObject{.version = version,
                     .generation = 1,
                     .change_id = "c" + std::to_string(version),
                     .spec = std::make_shared<const ObjectSpec>(record.spec)};
}

inline constexpr const char* kService =
    "{'kind':'query_service','name':'bays','spec':{'limits':['l1']}}";
inline constexpr const char* kLimit =
    "{'kind':'limit_policy','name':'l1','spec':{'concurrency':9}}";
inline constexpr const char* kServerA =
    "{'kind':'backend_server','name':'a',"
    "'spec':{'address':'10.0.0.1','port':80,'zone':'z1'}}";
inline constexpr const char* kServerB =
    "{'kind':'backend_server','name':'b',"
    "'spec':{'address':'10.0.0.2','port':80,'zone':'z2'}}";
inline constexpr const char* kLowShard =
    "{'kind':'shard','name':'low',"
    "'spec':{'service':'bays','begin':0,'end':100,'replicas':['b','a']}}";
inline constexpr const char* kHighShard =
    "{'kind':'shard','name':'high',"
    "'spec':{'service':'bays','begin':100,'end':65536,'replicas':['b']}}";
inline constexpr const char* kSnapshot =
    "{'kind':'snapshot','name':'v1','spec':{'service':'bays','sequence':1,"
    "'shards':['high','low']}}";

inline constexpr const char* kAllSamples[] = {
    kService, kLimit, kServerA, kServerB, kLowShard, kHighShard, kSnapshot};

/// One service with two shards; versions 1 to 7.
inline ObjectSet sample_objects() {
  ObjectSet objects;
  store::Version version = 0;
  for (const char* json : kAllSamples) {
    put(objects, json, ++version);
  }
  return objects;
}

}  // namespace ibismux::release::testing

#endif  // IBISMUX_TESTS_RELEASE_SAMPLE_OBJECTS_H_
