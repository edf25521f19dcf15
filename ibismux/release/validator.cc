#include "ibismux/release/validator.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "ibismux/release/object_index.h"

namespace ibismux::release {
namespace {

/// One pass over all objects; each rule is a method that adds what it finds.
class Validation {
 public:
  explicit Validation(const ObjectSet& objects)
      : objects(objects), index(objects) {}

  std::vector<Violation> run() {
    for (const Rule rule : kRules) {
      (this->*rule)();
    }
    return std::move(this->found);
  }

 private:
  using Rule = void (Validation::*)();

  static const std::array<Rule, 7> kRules;

  template <class T, class Visit>
  void each(ObjectKind kind, Visit visit) {
    const auto begin = this->objects.lower_bound(ObjectKey{kind, ""});
    for (auto it = begin; it != this->objects.end() && it->first.kind == kind;
         ++it) {
      visit(it->first, std::get<T>(*it->second.spec));
    }
  }

  void add(const ObjectKey& key,
           const std::string& what,
           std::vector<ObjectKey> others = {}) {
    others.insert(others.begin(), key);
    this->found.push_back(
        {std::string(to_string(key.kind)) + "/" + key.name + ": " + what,
         std::move(others)});
  }

  /// `field` of `key` names an object of `kind` that has to exist.
  void require(const ObjectKey& key,
               const std::string& field,
               ObjectKind kind,
               const std::string& name) {
    if (!this->index.contains(kind, name)) {
      const ObjectKey other{kind, name};
      this->add(key,
                field + " names " + std::string(to_string(kind)) + "/" + name +
                    ", which does not exist",
                {other});
    }
  }

  void service_limits_exist() {
    this->each<QueryService>(
        ObjectKind::kQueryService,
        [this](const ObjectKey& key, const QueryService& service) {
          for (const std::string& limit : service.limits) {
            this->require(key, "spec.limits", ObjectKind::kLimitPolicy, limit);
          }
        });
  }

  void shard_services_exist() {
    this->each<Shard>(ObjectKind::kShard,
                      [this](const ObjectKey& key, const Shard& shard) {
                        this->require(key, "spec.service",
                                      ObjectKind::kQueryService, shard.service);
                      });
  }

  void replicas_exist() {
    this->each<Shard>(ObjectKind::kShard,
                      [this](const ObjectKey& key, const Shard& shard) {
                        for (const std::string& replica : shard.replicas) {
                          this->require(key, "spec.replicas",
                                        ObjectKind::kBackendServer, replica);
                        }
                      });
  }

  /// Two objects for one leaf would each get its whole connection limit.
  void addresses_are_unique() {
    std::unordered_map<std::string, const ObjectKey*> seen;
    this->each<BackendServer>(
        ObjectKind::kBackendServer,
        [this, &seen](const ObjectKey& key, const BackendServer& server) {
          const auto [place, fresh] = seen.try_emplace(
              server.address + "|" + std::to_string(server.port), &key);
          if (!fresh) {
            this->add(key,
                      "spec.address and spec.port must be unique; "
                      "backend_server/" +
                          place->second->name + " has the same",
                      {*place->second});
          }
        });
  }

  void snapshot_services_exist() {
    this->each<Snapshot>(
        ObjectKind::kSnapshot,
        [this](const ObjectKey& key, const Snapshot& snapshot) {
          this->require(key, "spec.service", ObjectKind::kQueryService,
                        snapshot.service);
        });
  }

  /// With two newest snapshots, daemons could pin different ones.
  void sequences_are_unique() {
    std::map<std::pair<std::string, std::uint64_t>, ObjectKey> seen;
    this->each<Snapshot>(
        ObjectKind::kSnapshot,
        [this, &seen](const ObjectKey& key, const Snapshot& snapshot) {
          const auto [place, fresh] =
              seen.try_emplace({snapshot.service, snapshot.sequence}, key);
          if (!fresh) {
            this->add(key,
                      "spec.sequence must be unique in its service; snapshot/" +
                          place->second.name + " has the same",
                      {place->second});
          }
        });
  }

  void snapshots_cover_the_key_space() {
    this->each<Snapshot>(
        ObjectKind::kSnapshot,
        [this](const ObjectKey& key, const Snapshot& snapshot) {
          std::vector<const Shard*> shards = this->shards_of(key, snapshot);
          if (shards.size() == snapshot.shards.size()) {
            this->check_cover(key, std::move(shards));
          }
        });
  }

  /// The snapshot's shards that exist and are its service's.
  std::vector<const Shard*> shards_of(const ObjectKey& key,
                                      const Snapshot& snapshot) {
    std::vector<const Shard*> shards;
    for (const std::string& name : snapshot.shards) {
      const Shard* shard = this->index.find<Shard>(ObjectKind::kShard, name);
      if (shard == nullptr) {
        this->require(key, "spec.shards", ObjectKind::kShard, name);
      } else if (shard->service != snapshot.service) {
        this->add(key,
                  "spec.shards names shard/" + name +
                      ", which belongs to query_service/" + shard->service,
                  {ObjectKey{ObjectKind::kShard, name}});
      } else {
        shards.push_back(shard);
      }
    }
    return shards;
  }

  void check_cover(const ObjectKey& key, std::vector<const Shard*> shards) {
    std::sort(shards.begin(), shards.end(), [](const Shard* a, const Shard* b) {
      return std::tie(a->begin, a->end, a->name) <
             std::tie(b->begin, b->end, b->name);
    });
    std::vector<ObjectKey> others;
    others.reserve(shards.size());
    for (const Shard* shard : shards) {
      others.push_back(ObjectKey{ObjectKind::kShard, shard->name});
    }
    std::uint32_t covered = 0;
    for (const Shard* shard : shards) {
      if (shard->begin != covered) {
        this->add(key, cover_message(*shard, covered), std::move(others));
        return;
      }
      covered = shard->end;
    }
    if (covered != kKeySpace) {
      this->add(key,
                "spec.shards must cover [0, 65536); the keys from " +
                    std::to_string(covered) + " on are missing",
                std::move(others));
    }
  }

  static std::string cover_message(const Shard& shard, std::uint32_t covered) {
    const char* what = shard.begin > covered ? "a gap" : "an overlap";
    return "spec.shards must cover [0, 65536) without gap or overlap; there "
           "is " +
           std::string(what) + " before shard/" + shard.name +
           ", which begins at " + std::to_string(shard.begin) + " where " +
           std::to_string(covered) + " is next";
  }

  const ObjectSet& objects;
  const ObjectIndex index;
  std::vector<Violation> found;
};

const std::array<Validation::Rule, 7> Validation::kRules = {
    &Validation::service_limits_exist,
    &Validation::shard_services_exist,
    &Validation::replicas_exist,
    &Validation::addresses_are_unique,
    &Validation::snapshot_services_exist,
    &Validation::sequences_are_unique,
    &Validation::snapshots_cover_the_key_space,
};

}  // namespace

std::vector<Violation> validate(const ObjectSet& objects) {
  return Validation(objects).run();
}

}  // namespace ibismux::release
