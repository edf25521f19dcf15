#include "ibismux/release/compiler.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "ibismux/release/object_index.h"

namespace ibismux::release {
namespace {

using LeafPositions = std::unordered_map<std::string_view, std::uint32_t>;

/// One compilation, kind by kind; each step uses what those before it made.
class Compilation {
 public:
  Compilation(const ObjectSet& objects, Release& release)
      : objects(objects), index(objects), release(release) {}

  void add_leafs() {
    this->each<BackendServer>([this](const BackendServer& server) {
      this->positions.emplace(
          server.name, static_cast<std::uint32_t>(this->release.leafs.size()));
      this->release.leafs.push_back(server);
    });
  }

  void add_limits() {
    this->each<LimitPolicy>([this](const LimitPolicy& policy) {
      this->limits[policy.name] = std::make_shared<const LimitPolicy>(policy);
    });
  }

  void add_services() {
    this->each<QueryService>([this](const QueryService& service) {
      ServiceView& view = this->services[service.name];
      view.spec = service;
      for (const std::string& name : service.limits) {
        const auto found = this->limits.find(name);
        if (found != this->limits.end()) {
          view.limits.push_back(found->second);
        }
      }
    });
  }

  void add_snapshots() {
    this->each<Snapshot>([this](const Snapshot& snapshot) {
      const auto service = this->services.find(snapshot.service);
      if (snapshot.servable && service != this->services.end()) {
        service->second.snapshots.push_back(this->view_of(snapshot));
      }
    });
  }

  void finish() {
    for (auto& [name, view] : this->services) {
      std::sort(view.snapshots.begin(), view.snapshots.end(),
                [](const auto& a, const auto& b) {
                  return a->sequence > b->sequence;
                });
      this->release.services[name] =
          std::make_shared<const ServiceView>(std::move(view));
    }
  }

 private:
  template <class T, class Visit>
  void each(Visit visit) {
    for (const auto& [key, object] : this->objects) {
      if (const T* spec = std::get_if<T>(object.spec.get())) {
        visit(*spec);
      }
    }
  }

  std::shared_ptr<const SnapshotView> view_of(const Snapshot& snapshot) {
    auto view = std::make_shared<SnapshotView>();
    view->name = snapshot.name;
    view->sequence = snapshot.sequence;
    for (const std::string& name : snapshot.shards) {
      const Shard* shard = this->index.find<Shard>(ObjectKind::kShard, name);
      if (shard != nullptr) {
        view->shards.push_back(this->view_of(*shard));
      }
    }
    std::sort(view->shards.begin(), view->shards.end(),
              [](const ShardView& a, const ShardView& b) {
                return a.begin < b.begin;
              });
    return view;
  }

  ShardView view_of(const Shard& shard) {
    ShardView view{shard.name, shard.begin, shard.end, {}};
    for (const std::string& name : shard.replicas) {
      const auto found = this->positions.find(name);
      if (found != this->positions.end()) {
        view.replicas.push_back(found->second);
      }
    }
    return view;
  }

  const ObjectSet& objects;
  const ObjectIndex index;
  Release& release;
  LeafPositions positions;
  std::unordered_map<std::string, std::shared_ptr<const LimitPolicy>> limits;
  std::unordered_map<std::string, ServiceView> services;
};

}  // namespace

std::shared_ptr<const Release> compile(const ObjectSet& objects,
                                       Generation generation) {
  auto release = std::make_shared<Release>();
  release->generation = generation;
  Compilation compilation(objects, *release);
  compilation.add_leafs();
  compilation.add_limits();
  compilation.add_services();
  compilation.add_snapshots();
  compilation.finish();
  return release;
}

}  // namespace ibismux::release
