#include "ibismux/peer/peer_connection.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cstring>
#include <utility>

#include "ibismux/peer/peer_metrics.h"
#include "ibismux/peer/thrift_codec.h"

namespace ibismux::peer {

namespace {

constexpr auto kAwait = boost::asio::as_tuple(boost::asio::use_awaitable);
/// Correlation of a goodbye that says that the peer's was read, and with it all
/// that came before. Two goodbyes that cross prove nothing: either side may end
/// with frames of the other unread, and those would be lost unnoticed.
constexpr std::uint64_t kAck = 1;
constexpr std::size_t kReadBytes = 16 * 1024;
/// A write buffer that a burst made larger than this is given back.
constexpr std::size_t kKeptBytes = 256 * 1024;

}  // namespace

PeerConnection::PeerConnection(boost::asio::ip::tcp::socket socket,
                               Incarnation peer,
                               bool dialled,
                               std::size_t most_queued,
                               PeerMetrics& metrics)
    : socket(std::move(socket)),
      who(std::move(peer)),
      by_us(dialled),
      most_queued(most_queued),
      metrics(metrics),
      buffer(kReadBytes) {}

void PeerConnection::start(std::weak_ptr<Owner> owner) {
  this->owner = std::move(owner);
  this->metrics.connection_opened();
  boost::asio::co_spawn(this->socket.get_executor(),
                        read(this->shared_from_this()), boost::asio::detached);
}

Task<void> PeerConnection::read(std::shared_ptr<PeerConnection> self) {
  std::string reason = co_await self->read_frames();
  self->shut(self->ack_received, std::move(reason));
}

/// Reads until the connection ends, and says why it did.
Task<std::string> PeerConnection::read_frames() {
  while (!this->closed) {
    const std::size_t have = this->end - this->begin;
    if (have >= FrameHeader::kBytes) {
      const char* at = this->buffer.data() + this->begin;
      const auto header = parse_header(at);
      // An attacker or a bug may claim gigabytes: judged before allocating.
      if (!header || header->length > kMostMessageBytes) {
        this->metrics.frame_rejected();
        co_return "malformed or oversized frame";
      }
      if (have >= FrameHeader::kBytes + header->length) {
        this->begin += FrameHeader::kBytes + header->length;
        std::string fault = this->deliver(
            *header, std::string(at + FrameHeader::kBytes, header->length));
        if (!fault.empty()) {
          co_return fault;
        }
        continue;
      }
      if (FrameHeader::kBytes + header->length > this->buffer.size()) {
        std::string fault = co_await this->read_rest(*header);
        if (!fault.empty()) {
          co_return fault;
        }
        continue;
      }
    }
    std::memmove(this->buffer.data(), this->buffer.data() + this->begin, have);
    this->begin = 0;
    this->end = have;
    const auto [error, bytes] = co_await this->socket.async_read_some(
        boost::asio::buffer(this->buffer.data() + have,
                            this->buffer.size() - have),
        kAwait);
    if (error) {
      co_return error.message();
    }
    this->end += bytes;
  }
  co_return "closed";
}

/// Takes a frame longer than the buffer, whose header is at `begin`.
Task<std::string> PeerConnection::read_rest(FrameHeader header) {
  std::string payload(header.length, '\0');
  const std::size_t start = this->begin + FrameHeader::kBytes;
  const std::size_t have = this->end - start;
  std::memcpy(payload.data(), this->buffer.data() + start, have);
  this->begin = this->end = 0;
  const auto [error, bytes] = co_await boost::asio::async_read(
      this->socket,
      boost::asio::buffer(payload.data() + have, payload.size() - have),
      kAwait);
  if (error) {
    co_return error.message();
  }
  co_return this->deliver(header, std::move(payload));
}

/// @return Why the connection must end; empty where it goes on.
std::string PeerConnection::deliver(FrameHeader header, std::string payload) {
  this->metrics.received(header.kind, FrameHeader::kBytes + payload.size());
  if (header.role == FrameRole::kHello) {
    this->metrics.frame_rejected();
    return "a second hello";
  }
  if (header.role == FrameRole::kGoodbye) {
    this->goodbye_received = true;
    this->ack_received = this->ack_received || header.correlation == kAck;
  }
  if (const auto hearer = this->owner.lock()) {
    hearer->on_frame(this->shared_from_this(), header, std::move(payload));
  }
  this->finish_if_done();
  return "";
}

void PeerConnection::append(std::string_view frames) {
  if (this->closed) {
    return;
  }
  this->outbox.append(frames);
  this->waiting.store(this->outbox.size() + this->in_write.size(),
                      std::memory_order_relaxed);
  this->write();
}

void PeerConnection::append_response(FrameRole role,
                                     std::uint8_t kind,
                                     std::uint64_t correlation,
                                     std::string_view payload) {
  // A peer that asks and never reads would fill this daemon's memory with
  // responses; the queue of its own requests doesn't bound that.
  if (this->queued() + payload.size() > 2 * this->most_queued) {
    this->close("the peer does not read");
    return;
  }
  std::string frame;
  append_frame(frame, kind, role, correlation, payload);
  this->metrics.sent(kind, frame.size());
  this->append(frame);
}

void PeerConnection::write() {
  if (this->closed || !this->in_write.empty() || this->outbox.empty()) {
    return;
  }
  std::swap(this->in_write, this->outbox);
  boost::asio::async_write(this->socket, boost::asio::buffer(this->in_write),
                           [self = this->shared_from_this()](
                               boost::system::error_code error, std::size_t) {
                             self->in_write.clear();
                             if (self->in_write.capacity() > kKeptBytes) {
                               self->in_write.shrink_to_fit();
                             }
                             self->waiting.store(self->outbox.size(),
                                                 std::memory_order_relaxed);
                             if (error) {
                               self->shut(false, error.message());
                               return;
                             }
                             self->write();
                             self->finish_if_done();
                           });
}

void PeerConnection::say_goodbye() {
  const bool ack = this->goodbye_received;
  if (this->closed || this->ack_sent || (this->goodbye_sent && !ack)) {
    return;
  }
  (ack ? this->ack_sent : this->goodbye_sent) = true;
  std::string frame;
  append_frame(frame, 0, FrameRole::kGoodbye, ack ? kAck : 0, "");
  this->metrics.sent(0, frame.size());
  this->append(frame);
}

void PeerConnection::end_serving() {
  --this->serving;
  this->finish_if_done();
}

void PeerConnection::finish_if_done() {
  const bool agreed = this->ack_sent && this->ack_received;
  if (agreed && this->serving == 0 && this->in_write.empty() &&
      this->outbox.empty()) {
    this->shut(true, "goodbye");
  }
}

void PeerConnection::close(std::string reason) {
  this->shut(false, std::move(reason));
}

void PeerConnection::shut(bool graceful, std::string reason) {
  if (std::exchange(this->closed, true)) {
    return;
  }
  // Not in the destructor: that may run as late as the loops end, when the
  // registry is gone.
  this->metrics.connection_closed();
  boost::system::error_code ignored;
  this->socket.close(ignored);
  if (const auto hearer = this->owner.lock()) {
    hearer->on_closed(this->shared_from_this(), graceful, std::move(reason));
  }
}

}  // namespace ibismux::peer
