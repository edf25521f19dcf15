#include "ibismux/dispatch/link_opener.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <random>
#include <utility>

#include "ibismux/dispatch/leaf.h"
#include "ibismux/http/await_timer.h"

namespace ibismux::dispatch {

namespace {

using std::chrono::milliseconds;

// Interval while links are missing: 100 dials per second, which leave a slow
// host time for its callers.
constexpr milliseconds kPace{20};
constexpr std::size_t kDialsATick = 2;
// Concurrent dials: a leaf that doesn't answer a dial must not delay the
// others, and many such leafs must not exhaust the file descriptors of the
// process.
constexpr std::size_t kMostOpening = 16;
// Interval while no link is missing; a lost link is noticed after at most this
// long.
constexpr milliseconds kIdlePace{250};

}  // namespace

LinkOpener::LinkOpener(boost::asio::io_context& loop, std::uint64_t seed)
    : loop(loop), random(seed), timer(loop.get_executor()) {}

void LinkOpener::add(std::shared_ptr<Leaf> leaf) {
  this->leafs.push_back(std::move(leaf));
  // Incremental Fisher-Yates shuffle.
  std::uniform_int_distribution<std::size_t> place(0, this->leafs.size() - 1);
  std::swap(this->leafs.back(), this->leafs[place(this->random)]);
}

void LinkOpener::start() {
  this->tick();
}

void LinkOpener::tick() {
  std::erase_if(this->leafs,
                [](const auto& leaf) { return leaf->is_retired(); });
  const bool busy = this->open_some(Clock::now());
  this->timer.expires_after(busy ? kPace : kIdlePace);
  http::await_timer(this->timer, this->weak_from_this(), &LinkOpener::tick);
}

bool LinkOpener::open_some(TimePoint now) {
  std::size_t begun = 0;
  for (std::size_t looked = 0;
       looked < this->leafs.size() && begun < kDialsATick &&
       this->opening < kMostOpening;
       ++looked) {
    this->next = (this->next + 1) % this->leafs.size();
    const std::shared_ptr<Leaf>& leaf = this->leafs[this->next];
    if (leaf->wants_link(now)) {
      ++begun;
      ++this->opening;
      boost::asio::co_spawn(this->loop, open(this->shared_from_this(), leaf),
                            boost::asio::detached);
    }
  }
  return begun > 0 || this->opening >= kMostOpening;
}

Task<void> LinkOpener::open(std::shared_ptr<LinkOpener> self,
                            std::shared_ptr<Leaf> leaf) {
  co_await Leaf::open_ahead(std::move(leaf));
  --self->opening;
}

}  // namespace ibismux::dispatch
