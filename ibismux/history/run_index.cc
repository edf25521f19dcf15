#include "ibismux/history/run_index.h"

#include <algorithm>
#include <string>

#include "ibismux/base/text_hash.h"

namespace ibismux::history {

namespace {

std::uint64_t hash_of(std::string_view text) {
  return text_hash(text);
}

std::uint64_t hash_of(std::string_view body_hash,
                      std::string_view snapshot,
                      std::string_view shard) {
  std::string all(body_hash);
  all += '\0';
  all += snapshot;
  all += '\0';
  all += shard;
  return hash_of(all);
}

}  // namespace

void RunIndex::watch(std::string_view body_hash) {
  this->watched[hash_of(body_hash)];
}

void RunIndex::add(const RunRecord& run) {
  ++this->runs;
  if (run.done == "answered") {
    this->answers.push_back(hash_of(run.body_hash, run.snapshot, run.shard));
  }
  const auto found = this->watched.find(hash_of(run.body_hash));
  if (found != this->watched.end()) {
    found->second.push_back(run.begin);
  }
}

void RunIndex::seal() {
  std::ranges::sort(this->answers);
}

bool RunIndex::answered(std::string_view body_hash,
                        std::string_view snapshot,
                        std::string_view shard) const {
  return std::ranges::binary_search(this->answers,
                                    hash_of(body_hash, snapshot, shard));
}

const std::vector<Instant>& RunIndex::begins(std::string_view body_hash) const {
  static const std::vector<Instant> none;
  const auto found = this->watched.find(hash_of(body_hash));
  return found == this->watched.end() ? none : found->second;
}

}  // namespace ibismux::history
