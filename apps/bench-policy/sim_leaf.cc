#include "apps/bench-policy/sim_leaf.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace ibismux::bench {

namespace {

/// One hit that tells which snapshot and shard it was drawn from.
std::string body_of(const SimCall& call) {
  return R"({"hits":[{"id":")" + call.shard + R"(","score":1,"text":")" +
         call.snapshot + R"("}]})";
}

}  // namespace

Duration WorkModel::draw(pcg64& random) const {
  // Half of the mean is fixed, half is exponential.
  std::exponential_distribution<double> spread(1.0);
  std::uniform_real_distribution<double> share(0, 1);
  double factor = 0.5 + 0.5 * spread(random);
  if (share(random) < this->slow_share) {
    factor *= this->slow_factor;
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(this->mean) * factor);
}

void SimLeaf::submit(SimCall call) {
  ++this->received;
  if (this->refuses) {
    call.answer(fail(ErrorKind::kOverloaded, "refused"), Duration::zero(),
                Duration::zero());
    return;
  }
  const auto held = this->held.find(call.snapshot);
  if (held != this->held.end() && !held->second) {
    call.answer(fail(ErrorKind::kSnapshotGone, "gone"), Duration::zero(),
                Duration::zero());
    return;
  }
  auto job = std::make_shared<Job>(Job{std::move(call), this->timeline.now()});
  this->queues[static_cast<std::size_t>(job->call.priority)].push_back(job);
  this->start_next();
}

void SimLeaf::cancel(const CallId& id) {
  const auto same = [&id](const auto& job) { return job->call.id == id; };
  const auto found =
      std::find_if(this->running.begin(), this->running.end(), same);
  if (found != this->running.end()) {
    (*found)->gone = true;
    this->running.erase(found);
    --this->busy;
    this->start_next();
    return;
  }
  for (auto& queue : this->queues) {
    std::erase_if(queue, same);
  }
}

void SimLeaf::start_next() {
  for (auto& queue : this->queues) {
    while (this->busy < this->slots && !queue.empty()) {
      const std::shared_ptr<Job> job = std::move(queue.front());
      queue.pop_front();
      if (this->timeline.now() < job->call.deadline) {
        this->start(job);
      }
    }
  }
}

void SimLeaf::start(const std::shared_ptr<Job>& job) {
  ++this->busy;
  this->running.push_back(job);
  const Duration queue_time = this->timeline.now() - job->queued;
  const Duration work = this->work.draw(this->random);
  this->timeline.after(work, [this, job, queue_time, work] {
    if (job->gone) {
      return;
    }
    std::erase(this->running, job);
    --this->busy;
    job->call.answer(body_of(job->call), queue_time, work);
    this->start_next();
  });
}

}  // namespace ibismux::bench
