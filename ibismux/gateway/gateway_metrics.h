#ifndef IBISMUX_GATEWAY_GATEWAY_METRICS_H_
#define IBISMUX_GATEWAY_GATEWAY_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>

#include "ibismux/backend/leaf_reply.h"
#include "ibismux/base/time.h"

namespace ibismux::gateway {

/// Why a call was answered without being sent to a leaf.
enum class RefuseReason : unsigned char {
  kFull,
  kHopeless,
  kEvicted,
  kExpired,
  kCancelled,
  kLeaving,
  kEjected,
  kUnreachable,
  kNoShare,
};

inline constexpr std::size_t kRefuseReasons = 9;

/// Why an answer that came was not used.
enum class DropReason : unsigned char {
  kLate,
  kForeign,
  kTruncated,
  kDuplicate,
};

inline constexpr std::size_t kDropReasons = 4;

/// The gateway's metrics, made once. Thread safe.
class GatewayMetrics {
 public:
  explicit GatewayMetrics(prometheus::Registry& registry);

  void called(backend::LeafSignal signal, Duration leaf_time);
  void queued(Duration queue_time);
  void refused(RefuseReason reason);
  void dropped(DropReason reason);
  void cancel_sent() { this->cancels->Increment(); }
  void ejected() { this->ejections->Increment(); }
  void connection_opened(bool success);
  void connections_changed(double calls, double controls) {
    this->call_connections->Increment(calls);
    this->control_connections->Increment(controls);
  }
  void in_flight_changed(double by) { this->in_flight->Increment(by); }
  void limit_changed(double by) { this->limits->Increment(by); }

 private:
  std::array<prometheus::Counter*, backend::kLeafSignals> calls{};
  std::array<prometheus::Counter*, kRefuseReasons> refusals{};
  std::array<prometheus::Counter*, kDropReasons> drops{};
  std::array<prometheus::Counter*, 2> opened{};
  prometheus::Histogram* leaf_seconds = nullptr;
  prometheus::Histogram* queue_seconds = nullptr;
  prometheus::Counter* cancels = nullptr;
  prometheus::Counter* ejections = nullptr;
  prometheus::Gauge* call_connections = nullptr;
  prometheus::Gauge* control_connections = nullptr;
  prometheus::Gauge* in_flight = nullptr;
  prometheus::Gauge* limits = nullptr;
};

}  // namespace ibismux::gateway

#endif  // IBISMUX_GATEWAY_GATEWAY_METRICS_H_
