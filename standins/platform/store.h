#ifndef STANDINS_PLATFORM_STORE_H_
#define STANDINS_PLATFORM_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace fake_platform {

using Version = std::uint64_t;

/// One write, as a watch shows it.
struct Change {
  std::string collection;
  std::string name;
  Version version = 0;
  std::string value;
  bool removed = false;
};

/// The objects, their versions and a bounded history. Not thread safe.
class Store {
 public:
  struct Object {
    Version version = 0;
    std::string value;
  };
  using Collection = std::map<std::string, Object>;

  /// @param most_history How many writes a watch can go back.
  explicit Store(std::size_t most_history) : most_history(most_history) {}

  [[nodiscard]] Version version() const { return this->newest; }

  [[nodiscard]] const Collection& list(const std::string& collection) {
    return this->collections[collection];
  }

  /// The object; version 0 where there is none.
  [[nodiscard]] Object get(const std::string& collection,
                           const std::string& name) {
    const Collection& objects = this->list(collection);
    const auto found = objects.find(name);
    return found == objects.end() ? Object{} : found->second;
  }

  /// Takes over the change as the next version: the caller has compared the
  /// versions.
  Version write(Change change) {
    change.version = ++this->newest;
    Collection& objects = this->collections[change.collection];
    if (change.removed) {
      objects.erase(change.name);
    } else {
      objects[change.name] = {change.version, change.value};
    }
    this->history.push_back(std::move(change));
    if (this->history.size() > this->most_history) {
      this->forgotten = this->history.front().version;
      this->history.pop_front();
    }
    return this->newest;
  }

  /// Whether the history still has every write after `since`.
  [[nodiscard]] bool reaches(Version since) const {
    return since >= this->forgotten && since <= this->newest;
  }

  /// Whether `collection` changed after `since`.
  [[nodiscard]] bool changed(const std::string& collection,
                             Version since) const {
    for (auto change = this->history.rbegin();
         change != this->history.rend() && change->version > since; ++change) {
      if (change->collection == collection) {
        return true;
      }
    }
    return false;
  }

  [[nodiscard]] const std::deque<Change>& changes() const {
    return this->history;
  }

  void forget_history() {
    this->history.clear();
    this->forgotten = this->newest;
  }

 private:
  std::size_t most_history;
  Version newest = 0;
  Version forgotten = 0;  ///< The newest write that the history lacks.
  std::map<std::string, Collection> collections;
  std::deque<Change> history;
};

}  // namespace fake_platform

#endif  // STANDINS_PLATFORM_STORE_H_
