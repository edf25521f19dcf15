#include "ibismux/release/release_parts.h"

#include <algorithm>

namespace ibismux::release {
namespace {

using Naming = std::string (*)(const ChunkRef&);

/// Appends the names of those of `refs` that are newer than `have`.
void add_names(const std::vector<ChunkRef>& refs,
               Generation have,
               Naming name,
               std::vector<std::string>& names) {
  for (const ChunkRef& ref : refs) {
    if (!ref.hash.empty() && ref.generation > have) {
      names.push_back(name(ref));
    }
  }
}

}  // namespace

std::vector<std::string> names_of(const Head& head,
                                  const std::vector<ChunkRef>& refs) {
  std::vector<std::string> names;
  add_names(head.indexes, 0, index_name, names);
  add_names(refs, 0, chunk_name, names);
  return names;
}

const std::string* find_part(const Head& head,
                             const ReleaseParts& parts,
                             const std::string& name) {
  const ChunkName wanted = parse_chunk_name(name);
  const std::vector<ChunkRef>& refs =
      wanted.is_index ? head.indexes : parts.refs;
  const auto found = std::find(refs.begin(), refs.end(), wanted.ref);
  if (wanted.ref.hash.empty() || found == refs.end()) {
    return nullptr;
  }
  const auto place = static_cast<std::size_t>(found - refs.begin());
  return wanted.is_index ? &parts.indexes[place]->bytes
                         : &parts.chunks[place]->bytes;
}

std::vector<std::string> written_since(const Head& head,
                                       const ReleaseParts& parts,
                                       Generation have,
                                       const std::string& index) {
  std::vector<std::string> names;
  if (index.empty()) {
    add_names(head.indexes, have, index_name, names);
    add_names(parts.refs, have, chunk_name, names);
    return names;
  }
  for (std::size_t i = 0; i < head.indexes.size(); ++i) {
    if (index_name(head.indexes[i]) == index) {
      add_names(parts.indexes[i]->chunks, have, chunk_name, names);
    }
  }
  return names;
}

}  // namespace ibismux::release
