#include "ibismux/release/garbage.h"

#include <set>

namespace ibismux::release {
namespace {

std::set<std::string> names_in(const Head& head) {
  std::set<std::string> names;
  for (const ChunkRef& chunk : head.chunks) {
    names.insert(chunk_name(chunk));
  }
  return names;
}

}  // namespace

void Garbage::add(const std::vector<std::string>& names, Generation now) {
  for (const std::string& name : names) {
    this->unused_since.emplace(name, now);
  }
}

void Garbage::sweep(const platform::Listing& listing, const Head& head) {
  const std::set<std::string> named = names_in(head);
  for (const platform::StoredObject& object : listing.objects) {
    if (chunk_generation(object.name) != 0 && !named.contains(object.name)) {
      this->unused_since.emplace(object.name, head.generation);
    }
  }
}

std::vector<std::string> Garbage::due(const Head& head) {
  const std::set<std::string> named = names_in(head);
  std::vector<std::string> names;
  for (auto it = this->unused_since.begin(); it != this->unused_since.end();) {
    const auto& [name, since] = *it;
    if (named.contains(name)) {
      it = this->unused_since.erase(it);
    } else if (since + this->grace <= head.generation &&
               chunk_generation(name) <= head.generation) {
      names.push_back(name);
      it = this->unused_since.erase(it);
    } else {
      ++it;
    }
  }
  return names;
}

}  // namespace ibismux::release
