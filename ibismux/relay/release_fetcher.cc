#include "ibismux/relay/release_fetcher.h"

#include <utility>

#include "ibismux/peer/peer_network.h"
#include "ibismux/platform/object_store.h"
#include "ibismux/release/head.h"
#include "ibismux/release/release_store.h"

namespace ibismux::relay {

namespace {

/// What one answer holds at most, so that several chunks near a megabyte don't
/// meet the limit of a frame.
constexpr std::size_t kMostAnswerBytes = 2 * 1024 * 1024;

thread_local Origin offered_from = Origin::kPublishedHere;

}  // namespace

Task<Result<Duration>> ReleaseFetcher::from_peer(std::string peer) {
  FetchRequest request;
  request.have = this->releases.generation();
  std::string source = peer;
  auto answer = co_await this->ask(std::move(source), std::move(request));
  if (!answer) {
    co_return tl::unexpected<Error>(answer.error());
  }
  if (!answer->head.empty()) {
    const auto taken =
        co_await this->take_from_peer(std::move(peer), std::move(answer->head));
    if (!taken) {
      co_return tl::unexpected<Error>(taken.error());
    }
  }
  co_return answer->age;
}

Task<Result<bool>> ReleaseFetcher::take_from_peer(std::string peer,
                                                  std::string head) {
  auto missing = this->releases.missing(head);
  if (!missing) {
    co_return tl::unexpected<Error>(missing.error());
  }
  std::vector<std::string> chunks;
  std::vector<std::string> wanted = std::move(*missing);
  while (!wanted.empty()) {
    FetchRequest request{this->releases.generation(), wanted};
    std::string source = peer;
    auto answer = co_await this->ask(std::move(source), std::move(request));
    if (!answer) {
      co_return tl::unexpected<Error>(answer.error());
    }
    const std::size_t before = wanted.size();
    std::erase_if(wanted, [&answer](const std::string& name) {
      return answer->chunks.contains(name);
    });
    for (auto& [name, contents] : answer->chunks) {
      chunks.push_back(std::move(contents));
    }
    if (wanted.size() == before) {
      // It has gone on to a newer release, and will tell.
      co_return fail(ErrorKind::kNotFound, peer + " lacks " + wanted.front());
    }
  }
  co_return this->offer(head, chunks, Origin::kPeer);
}

Origin ReleaseFetcher::offering() noexcept {
  return offered_from;
}

Result<bool> ReleaseFetcher::offer(const std::string& head,
                                   const std::vector<std::string>& chunks,
                                   Origin origin) {
  offered_from = origin;
  auto taken = this->releases.offer(head, chunks);
  offered_from = Origin::kPublishedHere;
  return taken;
}

Task<Result<FetchAnswer>> ReleaseFetcher::ask(std::string peer,
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

Task<Result<platform::Version>> ReleaseFetcher::from_platform() {
  const TimePoint deadline = Clock::now() + this->settings.platform_timeout;
  std::string collection = platform::kReleases;
  std::string name = release::kHeadName;
  auto head = co_await this->platform.get(std::move(collection),
                                          std::move(name), deadline);
  if (!head && head.error().kind == ErrorKind::kNotFound) {
    co_return platform::Version{0};
  }
  if (!head) {
    co_return tl::unexpected<Error>(head.error());
  }
  platform::WatchBatch nothing;
  const auto taken = co_await this->take_from_platform(std::move(head->value),
                                                       std::move(nothing));
  if (!taken) {
    co_return tl::unexpected<Error>(taken.error());
  }
  co_return head->version;
}

Task<Result<bool>> ReleaseFetcher::take_from_platform(
    std::string head,
    platform::WatchBatch batch) {
  const auto decoded = release::decode_head(head);
  if (decoded && decoded->generation <= this->releases.generation()) {
    co_return false;  // An old event: nothing is read for it.
  }
  const auto missing = this->releases.missing(head);
  if (!missing) {
    co_return tl::unexpected<Error>(missing.error());
  }
  std::map<std::string, std::string> known;
  for (auto& event : batch.events) {
    if (!event.removed) {
      known[event.object.name] = std::move(event.object.value);
    }
  }
  std::vector<std::string> chunks;
  for (const std::string& wanted : *missing) {
    const auto found = known.find(wanted);
    if (found != known.end()) {
      chunks.push_back(std::move(found->second));
      continue;
    }
    const TimePoint deadline = Clock::now() + this->settings.platform_timeout;
    std::string collection = platform::kReleases;
    std::string name = wanted;
    auto chunk = co_await this->platform.get(std::move(collection),
                                             std::move(name), deadline);
    if (!chunk) {
      co_return tl::unexpected<Error>(chunk.error());
    }
    chunks.push_back(std::move(chunk->value));
  }
  co_return this->offer(head, chunks, Origin::kPlatform);
}

FetchAnswer ReleaseFetcher::answer(const FetchRequest& request,
                                   Duration age) const {
  FetchAnswer answer;
  answer.age = age;
  answer.generation = this->releases.generation();
  std::size_t bytes = 0;
  for (const std::string& name : request.chunks) {
    auto contents = this->releases.chunk(name);
    if (contents &&
        (bytes == 0 || bytes + contents->size() <= kMostAnswerBytes)) {
      bytes += contents->size();
      answer.chunks.emplace(name, std::move(*contents));
    }
  }
  if (request.chunks.empty() && answer.generation > request.have) {
    answer.head = this->releases.head();
  }
  return answer;
}

}  // namespace ibismux::relay
