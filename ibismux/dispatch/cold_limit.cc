#include "ibismux/dispatch/cold_limit.h"

#include "ibismux/dispatch/link_plan.h"

namespace ibismux::dispatch {

namespace {

// Longer than the 1 s over which leafs measure the rate, because calls may
// arrive closer together than they were started.
constexpr std::chrono::milliseconds kWindow{1200};

}  // namespace

ColdShare cold_share(double rate,
                     const LinkSharers& sharers,
                     std::uint64_t leaf) noexcept {
  const std::size_t hosts = std::max<std::size_t>(1, sharers.hosts);
  const double per_host = rate / static_cast<double>(hosts);
  if (per_host >= 1) {
    return {static_cast<std::size_t>(per_host), kWindow};
  }
  const auto active_hosts = static_cast<std::size_t>(std::max(1.0, rate));
  if ((sharers.rank + leaf) % hosts >= active_hosts) {
    return {0, kWindow};
  }
  return {1, scaled(kWindow, std::max(1.0, 1 / rate))};
}

bool ColdLimit::allows(TimePoint now) const noexcept {
  return !this->is_limited(now) ||
         (this->share.calls > 0 && now >= this->free_at());
}

TimePoint ColdLimit::next_allowed(TimePoint now) const noexcept {
  if (this->allows(now)) {
    return now;
  }
  return this->share.calls == 0 ? this->warm_at()
                                : std::min(this->warm_at(), this->free_at());
}

TimePoint ColdLimit::free_at() const noexcept {
  if (this->recent.size() < this->share.calls) {
    return TimePoint::min();
  }
  return this->recent[this->recent.size() - this->share.calls] +
         this->share.window;
}

void ColdLimit::on_call(TimePoint now) {
  if (!this->is_limited(now)) {
    this->recent.clear();
    return;
  }
  this->recent.push_back(now);
  while (this->recent.size() > this->share.calls) {
    this->recent.pop_front();
  }
}

}  // namespace ibismux::dispatch
