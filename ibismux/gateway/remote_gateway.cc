#include "ibismux/gateway/remote_gateway.h"

#include <prometheus/counter.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <map>
#include <mutex>
#include <utility>

#include "ibismux/base/io_pool.h"
#include "ibismux/gateway/call_group.h"
#include "ibismux/gateway/leaf_calls_codec.h"
#include "ibismux/gateway/peer_calls.h"
#include "ibismux/gateway/remote_calls.h"
#include "ibismux/peer/peer_network.h"

namespace ibismux::gateway {

namespace {

using Batch = RemoteCalls::Batch;
using peer::MessageKind;

/// Hands `answers` to the batch's sink, on its executor.
void deliver(const Batch& batch, std::vector<LeafAnswer> answers) {
  boost::asio::post(batch->executor,
                    [batch, answers = std::move(answers)]() mutable {
                      const std::size_t count = answers.size();
                      for (LeafAnswer& answer : answers) {
                        batch->sink(std::move(answer));
                      }
                      if (batch->left.fetch_sub(count) == count) {
                        batch->deadline.cancel();
                      }
                    });
}

/// The end of a call that its gateway may have run.
LeafAnswer unanswered(const CallId& id, const Batch& batch, ErrorKind kind) {
  const bool query = batch->kind == LeafCallKind::kQuery;
  return {id,
          fail(query ? kind : ErrorKind::kOutcomeUnknown,
               "no answer from gateway " + batch->member),
          {},
          {}};
}

}  // namespace

/// The end of a call that its gateway did not get.
LeafAnswer unsent_answer(const CallId& id, const Batch& batch) {
  return {id,
          tl::unexpected(not_run(ErrorKind::kPeerUnavailable,
                                 batch->member + ": not sent")),
          {},
          {}};
}

/// The end of a call whose gateway `lost` is gone.
LeafAnswer lost_answer(const CallId& id,
                       const Batch& batch,
                       const Incarnation& lost) {
  // No incarnation was reached: a dial failed that frames waited for. The next
  // owner may have the query at once; else it would take a retry token, and
  // with none left fail though its leaf and two stand-bys are there. Notice:
  // retries rise with each failed dial. A query may be sent again whatever
  // became of it; a reservation may not, for the peer may hold it from a
  // connection that both sides agreed to close.
  const bool dial_failed = lost.number == 0;
  return dial_failed && batch->kind == LeafCallKind::kQuery
             ? unsent_answer(id, batch)
             : unanswered(id, batch, ErrorKind::kPeerUnavailable);
}

class RemoteGateway::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(IoPool& pool,
       peer::PeerNetwork& peers,
       LeafCaller& local,
       prometheus::Registry& metrics)
      : pool(pool), peers(peers), local(local) {
    auto& frames = prometheus::BuildCounter()
                       .Name("ibismux_gateway_frames_total")
                       .Help("Frames of leaf calls and answers between daemons")
                       .Register(metrics);
    this->call_frames = &frames.Add({{"kind", "calls"}});
    this->answer_frames = &frames.Add({{"kind", "answers"}});
    auto& dropped = prometheus::BuildCounter()
                        .Name("ibismux_gateway_answers_dropped_total")
                        .Help("Answers of gateways that were not used")
                        .Register(metrics);
    this->late = &dropped.Add({{"reason", "late"}});
    this->malformed = &dropped.Add({{"reason", "malformed"}});
    this->lost = &prometheus::BuildCounter()
                      .Name("ibismux_gateway_calls_lost_total")
                      .Help("Calls that ended with the loss of their gateway")
                      .Register(metrics)
                      .Add({});
  }

  void listen() {
    const std::weak_ptr<Impl> weak = this->weak_from_this();
    const auto on = [&](MessageKind kind,
                        void (Impl::*handle)(const Incarnation&,
                                             const std::string&)) {
      this->peers.on_notify(kind, [weak, handle](const Incarnation& from,
                                                 const std::string& payload) {
        if (const auto self = weak.lock()) {
          ((*self).*handle)(from, payload);
        }
      });
    };
    on(MessageKind::kLeafCalls, &Impl::on_calls);
    on(MessageKind::kLeafAnswers, &Impl::on_answers);
    on(MessageKind::kLeafCancels, &Impl::on_cancels);
    this->peers.on_lost([weak](const Incarnation& from) {
      if (const auto self = weak.lock()) {
        self->on_lost(from);
      }
    });
  }

  [[nodiscard]] bool call(const std::string& member,
                          const LeafCallBatch& calls,
                          boost::asio::any_io_executor executor,
                          LeafCaller::Sink sink) {
    const Batch batch = std::make_shared<RemoteBatch>(
        member, calls.kind, std::move(executor), std::move(sink));
    for (const LeafCallBatch::Item& item : calls.items) {
      batch->ids.push_back({calls.origin, item.sequence});
    }
    batch->left = batch->ids.size();
    this->calls.add(batch);
    if (!this->peers.notify(member, MessageKind::kLeafCalls,
                            encode_calls(calls, Clock::now()))) {
      return this->unsent(batch);
    }
    this->call_frames->Increment();
    boost::asio::post(batch->executor, [self = this->shared_from_this(), batch,
                                        deadline = calls.deadline] {
      self->watch_deadline(batch, deadline);
    });
    return true;
  }

  void cancel(const std::vector<CallId>& ids) {
    std::map<std::string, std::vector<CallId>> by_member;
    for (const CallId& id : ids) {
      if (const Batch batch = this->calls.find(id)) {
        by_member[batch->member].push_back(id);
      }
    }
    for (const auto& [member, list] : by_member) {
      this->peers.notify(member, MessageKind::kLeafCancels,
                         encode_cancels(list));
    }
  }

  void cancel_served() {
    std::lock_guard lock(this->mutex);
    for (const auto& [member, peer] : this->serving) {
      boost::asio::post(peer->loop(), [peer = peer] { peer->cancel(); });
    }
  }

 private:
  /// The frame was not sent. Calls that the loss of the peer ended meanwhile
  /// have had their answer; then the rest is answered too, as not run.
  [[nodiscard]] bool unsent(const Batch& batch) {
    std::vector<LeafAnswer> answers;
    for (const CallId& id : batch->ids) {
      if (this->calls.take(id, batch->member)) {
        answers.push_back(unsent_answer(id, batch));
      }
    }
    if (answers.size() == batch->ids.size()) {
      return false;
    }
    deliver(batch, std::move(answers));
    return true;
  }

  void watch_deadline(const Batch& batch, TimePoint deadline) {
    if (batch->left == 0) {
      return;
    }
    batch->deadline.expires_at(deadline);
    batch->deadline.async_wait([self = this->shared_from_this(),
                                batch](const boost::system::error_code& error) {
      if (!error) {
        self->pass_deadline(batch);
      }
    });
  }

  void pass_deadline(const Batch& batch) {
    std::vector<LeafAnswer> answers;
    for (const CallId& id : batch->ids) {
      if (this->calls.take(id, batch->member)) {
        answers.push_back(unanswered(id, batch, ErrorKind::kDeadlineExceeded));
      }
    }
    if (!answers.empty()) {
      deliver(batch, std::move(answers));
    }
  }

  void on_calls(const Incarnation& from, const std::string& frame) {
    Result<LeafCallBatch> calls = decode_calls(frame, Clock::now());
    if (!calls) {
      this->malformed->Increment();
      return;
    }
    const std::shared_ptr<PeerCalls> peer = this->peer_calls(from.member);
    boost::asio::post(peer->loop(),
                      [peer, calls = std::move(*calls)]() mutable {
                        peer->serve(std::move(calls));
                      });
  }

  void on_answers(const Incarnation& from, const std::string& frame) {
    Result<std::vector<LeafAnswer>> answers = decode_answers(frame);
    if (!answers) {
      this->malformed->Increment();
      return;
    }
    this->answer_frames->Increment();
    std::map<Batch, std::vector<LeafAnswer>> by_batch;
    for (LeafAnswer& answer : *answers) {
      if (const Batch batch = this->calls.take(answer.id, from.member)) {
        by_batch[batch].push_back(std::move(answer));
      } else {
        this->late->Increment();
      }
    }
    for (auto& [batch, list] : by_batch) {
      deliver(batch, std::move(list));
    }
  }

  void on_cancels(const Incarnation& /*from*/, const std::string& frame) {
    Result<std::vector<CallId>> ids = decode_cancels(frame);
    if (!ids) {
      this->malformed->Increment();
      return;
    }
    this->local.cancel(std::move(*ids));
  }

  void on_lost(const Incarnation& from) {
    std::map<Batch, std::vector<LeafAnswer>> by_batch;
    for (const auto& [id, batch] : this->calls.take_all(from.member)) {
      by_batch[batch].push_back(lost_answer(id, batch, from));
      this->lost->Increment();
    }
    for (auto& [batch, list] : by_batch) {
      deliver(batch, std::move(list));
    }
    this->abandon_calls_of(from.member);
  }

  /// Forgets the peer too: hosts come and go under new names for ever.
  void abandon_calls_of(const std::string& member) {
    std::lock_guard lock(this->mutex);
    const auto found = this->serving.find(member);
    if (found != this->serving.end()) {
      const std::shared_ptr<PeerCalls> peer = std::move(found->second);
      this->serving.erase(found);
      boost::asio::post(peer->loop(), [peer] { peer->cancel(); });
    }
  }

  [[nodiscard]] std::shared_ptr<PeerCalls> peer_calls(
      const std::string& member) {
    std::lock_guard lock(this->mutex);
    std::shared_ptr<PeerCalls>& slot = this->serving[member];
    if (!slot) {
      slot = std::make_shared<PeerCalls>(this->pool.next(), member, this->peers,
                                         this->local);
    }
    return slot;
  }

  IoPool& pool;
  peer::PeerNetwork& peers;
  LeafCaller& local;
  RemoteCalls calls;
  std::mutex mutex;
  std::map<std::string, std::shared_ptr<PeerCalls>> serving;
  prometheus::Counter* call_frames = nullptr;
  prometheus::Counter* answer_frames = nullptr;
  prometheus::Counter* late = nullptr;
  prometheus::Counter* malformed = nullptr;
  prometheus::Counter* lost = nullptr;
};

RemoteGateway::RemoteGateway(IoPool& pool,
                             peer::PeerNetwork& peers,
                             LeafCaller& local,
                             prometheus::Registry& metrics)
    : impl(std::make_shared<Impl>(pool, peers, local, metrics)) {
  this->impl->listen();
}

RemoteGateway::~RemoteGateway() = default;

bool RemoteGateway::call(const std::string& member,
                         const LeafCallBatch& batch,
                         boost::asio::any_io_executor executor,
                         LeafCaller::Sink sink) {
  return this->impl->call(member, batch, std::move(executor), std::move(sink));
}

void RemoteGateway::cancel(const std::vector<CallId>& calls) {
  this->impl->cancel(calls);
}

void RemoteGateway::cancel_served() {
  this->impl->cancel_served();
}

}  // namespace ibismux::gateway
