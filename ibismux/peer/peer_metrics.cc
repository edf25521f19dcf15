#include "ibismux/peer/peer_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include "ibismux/peer/peer_network.h"

namespace ibismux::peer {

namespace {

prometheus::Counter& counter(prometheus::Registry& registry,
                             const char* name,
                             const char* help,
                             const prometheus::Labels& labels = {}) {
  return prometheus::BuildCounter()
      .Name(name)
      .Help(help)
      .Register(registry)
      .Add(labels);
}

}  // namespace

bool is_control(std::uint8_t kind) noexcept {
  switch (static_cast<MessageKind>(kind)) {
    case MessageKind::kGossip:
    case MessageKind::kReleasePush:
    case MessageKind::kProbe:
    case MessageKind::kIndirectProbe:
    case MessageKind::kReleaseFetch:
    case MessageKind::kInForce:
    case MessageKind::kFeedPush:
    case MessageKind::kFeedPull:
    case MessageKind::kLeafReports:
    case MessageKind::kGatherOffer:
      return true;
    default:
      return kind == 0;
  }
}

PeerMetrics::PeerMetrics(prometheus::Registry& registry) {
  const auto direction = [&registry](const char* name) {
    const char* bytes = "ibismux_peer_bytes_total";
    const char* help = "Bytes exchanged with peers, frame headers included.";
    return Direction{
        &counter(registry, bytes, help,
                 {{"direction", name}, {"class", "control"}}),
        &counter(registry, bytes, help,
                 {{"direction", name}, {"class", "data"}}),
        &counter(registry, "ibismux_peer_frames_total",
                 "Frames exchanged with peers.", {{"direction", name}})};
  };
  this->out = direction("out");
  this->in = direction("in");
  this->connections = &prometheus::BuildGauge()
                           .Name("ibismux_peer_connections")
                           .Help("Open connections to peers.")
                           .Register(registry)
                           .Add({});
  this->lost = &counter(registry, "ibismux_peer_connections_lost_total",
                        "Connections to peers that broke.");
  this->refused = &counter(registry, "ibismux_peer_handshakes_refused_total",
                           "Handshakes that either side refused.");
  this->full = &counter(registry, "ibismux_peer_queue_full_total",
                        "Frames refused since a peer's queue was full.");
  this->rejected = &counter(registry, "ibismux_peer_frames_rejected_total",
                            "Frames that were malformed or unexpected.");
}

void PeerMetrics::count(const Direction& direction,
                        std::uint8_t kind,
                        std::size_t bytes) noexcept {
  direction.frames->Increment();
  if (is_control(kind)) {
    direction.control_bytes->Increment(static_cast<double>(bytes));
    this->control.fetch_add(bytes, std::memory_order_relaxed);
  } else {
    direction.data_bytes->Increment(static_cast<double>(bytes));
  }
}

void PeerMetrics::sent(std::uint8_t kind, std::size_t bytes) noexcept {
  this->count(this->out, kind, bytes);
}
void PeerMetrics::received(std::uint8_t kind, std::size_t bytes) noexcept {
  this->count(this->in, kind, bytes);
}
void PeerMetrics::connection_opened() noexcept {
  ++this->open;
  this->connections->Increment();
}
void PeerMetrics::connection_closed() noexcept {
  --this->open;
  this->connections->Decrement();
}
void PeerMetrics::connection_lost() noexcept {
  this->lost->Increment();
}
void PeerMetrics::handshake_refused() noexcept {
  this->refused->Increment();
}
void PeerMetrics::queue_full() noexcept {
  this->full->Increment();
}
void PeerMetrics::frame_rejected() noexcept {
  this->rejected->Increment();
}

}  // namespace ibismux::peer
