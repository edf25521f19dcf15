#include "ibismux/gateway/peer_calls.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "ibismux/gateway/leaf_calls_codec.h"
#include "ibismux/peer/peer_network.h"

namespace ibismux::gateway {

PeerCalls::PeerCalls(boost::asio::io_context& loop,
                     std::string member,
                     peer::PeerNetwork& peers,
                     LeafCaller& local)
    : context(loop), member(std::move(member)), peers(peers), local(local) {}

void PeerCalls::serve(LeafCallBatch batch) {
  for (const LeafCallBatch::Item& item : batch.items) {
    this->open.insert({batch.origin, item.sequence});
  }
  this->local.call(std::move(batch), this->context.get_executor(),
                   [self = this->shared_from_this()](LeafAnswer answer) {
                     self->on_answer(std::move(answer));
                   });
}

void PeerCalls::cancel() {
  // Reservations are in the list too; `LeafCaller::cancel` leaves those alone
  // that have been written to a leaf.
  this->local.cancel({this->open.begin(), this->open.end()});
}

void PeerCalls::on_answer(LeafAnswer answer) {
  this->open.erase(answer.id);
  this->ready.push_back(std::move(answer));
  // Answers that are ready in the same turn of the loop share one frame.
  if (this->ready.size() == 1) {
    boost::asio::post(this->context,
                      [self = this->shared_from_this()] { self->flush(); });
  }
}

void PeerCalls::flush() {
  const std::vector<LeafAnswer> answers = std::exchange(this->ready, {});
  // Where the frame can't be sent the peer is gone, or slow beyond its queue;
  // either way its calls end there, by the loss or by their deadlines.
  this->peers.notify(this->member, peer::MessageKind::kLeafAnswers,
                     encode_answers(answers));
}

}  // namespace ibismux::gateway
