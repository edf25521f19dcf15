#include "ibismux/relay/release_fetcher.h"

#include <iterator>
#include <utility>

#include "ibismux/peer/peer_network.h"
#include "ibismux/release/head.h"
#include "ibismux/release/release_parts.h"
#include "ibismux/release/release_store.h"
#include "ibismux/store/object_store.h"

namespace ibismux::relay {

namespace {

/// Maximum size of one answer, so that several chunks of almost a megabyte
/// don't exceed the frame size limit.
constexpr std::size_t kMaxAnswerBytes = 2 * 1024 * 1024;

thread_local Origin current_offer_origin = Origin::kPublishedHere;

}  // namespace

Task<Result<Duration>> ReleaseFetcher::fetch_from_peer(std::string peer) {
  FetchRequest request;
  request.have = this->releases.generation();
  std::string source = peer;
  auto answer =
      co_await this->send_request(std::move(source), std::move(request));
  if (!answer) {
    co_return tl::unexpected<Error>(answer.error());
  }
  if (!answer->head.empty()) {
    std::vector<std::string> fetched;
    for (auto& [name, contents] : answer->chunks) {
      fetched.push_back(std::move(contents));
    }
    const auto applied = co_await this->apply_from_peer(
        std::move(peer), std::move(answer->head), std::move(fetched));
    if (!applied) {
      co_return tl::unexpected<Error>(applied.error());
    }
  }
  co_return answer->age;
}

Task<Result<bool>> ReleaseFetcher::apply_from_peer(
    std::string peer,
    std::string head,
    std::vector<std::string> fetched) {
  for (int level = 0; level < release::kPartLevels; ++level) {
    auto missing = this->releases.missing(head, fetched);
    if (!missing) {
      co_return tl::unexpected<Error>(missing.error());
    }
    std::string source = peer;
    const auto done = co_await this->fetch_parts(std::move(source),
                                                 std::move(*missing), fetched);
    if (!done) {
      co_return tl::unexpected<Error>(done.error());
    }
  }
  co_return co_await this->offer(std::move(head), std::move(fetched),
                                 Origin::kPeer);
}

Task<Result<void>> ReleaseFetcher::fetch_parts(
    std::string peer,
    std::vector<std::string> wanted,
    std::vector<std::string>& parts) {
  while (!wanted.empty()) {
    FetchRequest request{this->releases.generation(), wanted};
    std::string source = peer;
    auto answer =
        co_await this->send_request(std::move(source), std::move(request));
    if (!answer) {
      co_return tl::unexpected<Error>(answer.error());
    }
    const std::size_t before = wanted.size();
    std::erase_if(wanted, [&answer](const std::string& name) {
      return answer->chunks.contains(name);
    });
    for (auto& [name, contents] : answer->chunks) {
      parts.push_back(std::move(contents));
    }
    if (wanted.size() == before) {
      // The peer now has a newer release, which it will announce by a push.
      co_return fail(ErrorKind::kNotFound, peer + " lacks " + wanted.front());
    }
  }
  co_return Result<void>();
}

Origin ReleaseFetcher::offer_origin() noexcept {
  return current_offer_origin;
}

Task<Result<bool>> ReleaseFetcher::offer(std::string head,
                                         std::vector<std::string> chunks,
                                         Origin origin) {
  auto work = [this, &head, &chunks, origin] {
    current_offer_origin = origin;
    auto applied = this->releases.offer(head, chunks);
    current_offer_origin = Origin::kPublishedHere;
    return applied;
  };
  co_return co_await release::run_on(this->work, work);
}

Task<Result<FetchAnswer>> ReleaseFetcher::send_request(std::string peer,
                                                       FetchRequest request) {
  const TimePoint deadline = Clock::now() + this->settings.request_timeout;
  std::string payload = encode(request);
  const auto response = co_await this->network.request(
      std::move(peer), peer::MessageKind::kReleaseFetch, std::move(payload),
      deadline);
  if (!response) {
    co_return tl::unexpected<Error>(response.error());
  }
  co_return decode_fetch_answer(*response);
}

Task<Result<store::Version>> ReleaseFetcher::fetch_from_platform() {
  const TimePoint deadline = Clock::now() + this->settings.platform_timeout;
  std::string collection = store::kReleases;
  std::string name = release::kHeadName;
  auto head = co_await this->platform.get(std::move(collection),
                                          std::move(name), deadline);
  if (!head && head.error().kind == ErrorKind::kNotFound) {
    co_return store::Version{0};
  }
  if (!head) {
    co_return tl::unexpected<Error>(head.error());
  }
  store::WatchBatch empty_batch;
  const auto applied = co_await this->apply_from_platform(
      std::move(head->value), std::move(empty_batch));
  if (!applied) {
    co_return tl::unexpected<Error>(applied.error());
  }
  co_return head->version;
}

Task<Result<bool>> ReleaseFetcher::apply_from_platform(
    std::string head,
    store::WatchBatch batch) {
  const auto decoded = release::decode_head(head);
  if (decoded && decoded->generation <= this->releases.generation()) {
    co_return false;  // No reads for an outdated event.
  }
  KnownParts known;
  for (auto& event : batch.events) {
    if (!event.removed) {
      known[event.object.name] = std::move(event.object.value);
    }
  }
  std::vector<std::string> chunks;
  for (int level = 0; level < release::kPartLevels; ++level) {
    auto missing = this->releases.missing(head, chunks);
    if (!missing) {
      co_return tl::unexpected<Error>(missing.error());
    }
    const auto done =
        co_await this->read_parts(std::move(*missing), known, chunks);
    if (!done) {
      co_return tl::unexpected<Error>(done.error());
    }
  }
  co_return co_await this->offer(std::move(head), std::move(chunks),
                                 Origin::kPlatform);
}

Task<Result<void>> ReleaseFetcher::read_parts(std::vector<std::string> wanted,
                                              KnownParts& known,
                                              std::vector<std::string>& parts) {
  for (std::string& name : wanted) {
    const auto found = known.find(name);
    if (found != known.end()) {
      parts.push_back(std::move(found->second));
      continue;
    }
    const TimePoint deadline = Clock::now() + this->settings.platform_timeout;
    std::string collection = store::kReleases;
    auto part = co_await this->platform.get(std::move(collection),
                                            std::move(name), deadline);
    if (!part) {
      co_return tl::unexpected<Error>(part.error());
    }
    parts.push_back(std::move(part->value));
  }
  co_return Result<void>();
}

bool ReleaseFetcher::add_part(const std::string& name,
                              FetchAnswer& answer,
                              std::size_t& bytes) const {
  auto contents = this->releases.chunk(name);
  if (!contents || (bytes != 0 && bytes + contents->size() > kMaxAnswerBytes)) {
    return false;
  }
  bytes += contents->size();
  answer.chunks.emplace(name, std::move(*contents));
  return true;
}

FetchAnswer ReleaseFetcher::answer(const FetchRequest& request,
                                   Duration age) const {
  FetchAnswer answer;
  answer.age = age;
  answer.generation = this->releases.generation();
  std::size_t bytes = 0;
  std::vector<std::string> implied;
  for (const std::string& name : request.chunks) {
    if (this->add_part(name, answer, bytes) &&
        release::parse_chunk_name(name).is_index) {
      std::vector<std::string> under =
          this->releases.written_since(request.have, name);
      std::move(under.begin(), under.end(), std::back_inserter(implied));
    }
  }
  if (request.chunks.empty() && answer.generation > request.have) {
    answer.head = this->releases.head();
    bytes = answer.head.size();
    implied = this->releases.written_since(request.have);
  }
  for (const std::string& name : implied) {
    static_cast<void>(this->add_part(name, answer, bytes));
  }
  return answer;
}

}  // namespace ibismux::relay
