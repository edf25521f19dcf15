#include "ibismux/release/garbage.h"

#include <iterator>
#include <set>

namespace ibismux::release {
namespace {

std::set<std::string> names_in(const ReleaseContents& release) {
  std::vector<std::string> names = names_of(release.head, release.parts.refs);
  return {std::make_move_iterator(names.begin()),
          std::make_move_iterator(names.end())};
}

}  // namespace

void Garbage::add(const std::vector<std::string>& names, Generation now) {
  for (const std::string& name : names) {
    this->unused_since.emplace(name, now);
  }
}

void Garbage::sweep(const store::Listing& listing,
                    const ReleaseContents& newest) {
  const std::set<std::string> named = names_in(newest);
  for (const store::StoredObject& object : listing.objects) {
    if (chunk_generation(object.name) != 0 && !named.contains(object.name)) {
      this->unused_since.emplace(object.name, newest.head.generation);
    }
  }
}

std::vector<std::string> Garbage::due(const ReleaseContents& newest) {
  const std::set<std::string> named = names_in(newest);
  std::vector<std::string> names;
  for (auto it = this->unused_since.begin(); it != this->unused_since.end();) {
    const auto& [name, since] = *it;
    if (named.contains(name)) {
      it = this->unused_since.erase(it);
    } else if (since + this->grace <= newest.head.generation &&
               chunk_generation(name) <= newest.head.generation) {
      names.push_back(name);
      it = this->unused_since.erase(it);
    } else {
      ++it;
    }
  }
  return names;
}

}  // namespace ibismux::release
