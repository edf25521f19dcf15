#include "ibismux/release/part_finder.h"

#include <utility>

namespace ibismux::release {

PartFinder::PartFinder(const Head& head,
                       const ReleaseParts& parts,
                       const std::vector<std::string>& fetched) {
  for (std::size_t i = 0; i < parts.indexes.size(); ++i) {
    this->indexes.emplace(head.indexes[i].hash, parts.indexes[i]);
  }
  for (std::size_t i = 0; i < parts.chunks.size(); ++i) {
    if (parts.chunks[i] != nullptr) {
      this->chunks.emplace(parts.refs[i].hash, parts.chunks[i]);
    }
  }
  for (const std::string& bytes : fetched) {
    this->fetched.emplace(content_hash(bytes), &bytes);
  }
}

Result<PartFinder::IndexPointer> PartFinder::index(const std::string& hash) {
  const auto known = this->indexes.find(hash);
  if (known != this->indexes.end()) {
    return known->second;
  }
  const auto bytes = this->fetched.find(hash);
  if (bytes == this->fetched.end()) {
    return IndexPointer();
  }
  Result<IndexChunk> decoded = decode_index(*bytes->second);
  if (!decoded) {
    return tl::unexpected<Error>(decoded.error());
  }
  return std::make_shared<const IndexChunk>(std::move(*decoded));
}

Result<PartFinder::ChunkPointer> PartFinder::chunk(const std::string& hash) {
  const auto known = this->chunks.find(hash);
  if (known != this->chunks.end()) {
    return known->second;
  }
  const std::string& bytes = *this->fetched.at(hash);
  Result<Chunk> decoded = decode_chunk(bytes);
  if (!decoded) {
    return tl::unexpected<Error>(decoded.error());
  }
  return std::make_shared<const StoredChunk>(
      StoredChunk{bytes, std::move(*decoded)});
}

bool PartFinder::has_chunk(const std::string& hash) const {
  return this->chunks.contains(hash) || this->fetched.contains(hash);
}

Result<std::vector<std::string>> PartFinder::open_indexes(const Head& head,
                                                          ReleaseParts& parts) {
  std::vector<std::string> lacking;
  parts.refs = head.chunks;
  std::size_t run = 0;
  for (const ChunkRef& ref : head.indexes) {
    Result<IndexPointer> found = this->index(ref.hash);
    if (!found) {
      return tl::unexpected<Error>(found.error());
    }
    if (*found == nullptr) {
      lacking.push_back(index_name(ref));
      continue;
    }
    const std::vector<ChunkRef>& chunks = (*found)->chunks;
    if (run != 0 && chunks.size() != run) {
      return fail(ErrorKind::kProtocolError, "indexes of unequal size");
    }
    run = chunks.size();
    parts.refs.insert(parts.refs.end(), chunks.begin(), chunks.end());
    parts.indexes.push_back(*std::move(found));
  }
  return lacking;
}

Result<std::vector<std::string>> PartFinder::missing(const Head& head) {
  ReleaseParts parts;
  Result<std::vector<std::string>> names = this->open_indexes(head, parts);
  if (!names) {
    return names;
  }
  this->add_missing(parts.refs, *names);
  return names;
}

void PartFinder::add_missing(const std::vector<ChunkRef>& refs,
                             std::vector<std::string>& names) const {
  for (const ChunkRef& ref : refs) {
    if (!ref.hash.empty() && !this->has_chunk(ref.hash)) {
      names.push_back(chunk_name(ref));
    }
  }
}

Result<ReleaseParts> PartFinder::find(const Head& head) {
  ReleaseParts parts;
  Result<std::vector<std::string>> lacking = this->open_indexes(head, parts);
  if (!lacking) {
    return tl::unexpected<Error>(lacking.error());
  }
  this->add_missing(parts.refs, *lacking);
  if (!lacking->empty()) {
    return fail(ErrorKind::kProtocolError, "release " +
                                               std::to_string(head.generation) +
                                               " lacks " + lacking->front());
  }
  for (const ChunkRef& ref : parts.refs) {
    if (ref.hash.empty()) {
      parts.chunks.push_back(nullptr);
      continue;
    }
    Result<ChunkPointer> found = this->chunk(ref.hash);
    if (!found) {
      return tl::unexpected<Error>(found.error());
    }
    parts.chunks.push_back(*std::move(found));
  }
  return parts;
}

}  // namespace ibismux::release
