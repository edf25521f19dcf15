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
constexpr milliseconds kDialInterval{20};
constexpr std::size_t kDialsPerTick = 2;
// Concurrent dials: a leaf that doesn't answer a dial must not delay the
// others, and many such leafs must not exhaust the file descriptors of the
// process.
constexpr std::size_t kMaxConcurrentDials = 16;
// Interval while no link is missing; a lost link is noticed after at most this
// long.
constexpr milliseconds kIdleInterval{250};

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
  const bool busy = this->start_dials(Clock::now());
  this->timer.expires_after(busy ? kDialInterval : kIdleInterval);
  http::await_timer(this->timer, this->weak_from_this(), &LinkOpener::tick);
}

bool LinkOpener::start_dials(TimePoint now) {
  std::size_t started = 0;
  for (std::size_t examined = 0;
       examined < this->leafs.size() && started < kDialsPerTick &&
       this->dials_in_progress < kMaxConcurrentDials;
       ++examined) {
    this->last_examined = (this->last_examined + 1) % this->leafs.size();
    const std::shared_ptr<Leaf>& leaf = this->leafs[this->last_examined];
    if (leaf->needs_link(now)) {
      ++started;
      ++this->dials_in_progress;
      boost::asio::co_spawn(this->loop, open(this->shared_from_this(), leaf),
                            boost::asio::detached);
    }
  }
  return started > 0 || this->dials_in_progress >= kMaxConcurrentDials;
}

Task<void> LinkOpener::open(std::shared_ptr<LinkOpener> self,
                            std::shared_ptr<Leaf> leaf) {
  co_await Leaf::open_ahead(std::move(leaf));
  --self->dials_in_progress;
}

}  // namespace ibismux::dispatch
