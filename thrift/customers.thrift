/// Messages by which daemons share the rate limits of customers.
/// docs/design/customers.md gives the reasons.
namespace cpp ibismux.customers.wire

/// kRateRequest: the sender asks an owner of the customer's limit for leave to
/// pass one request on.
struct RateRequest {
  1: string customer
  /// The version of the configuration that states the limit.
  2: i64 configuration
  /// Requests per second.
  3: double per_second
  /// Requests at once.
  4: double burst
  /// The answer is late whenever the request is granted. Absent in older builds.
  5: bool is_late
}

/// The response to kRateRequest.
struct RateReply {
  /// False if the receiver doesn't own a part of this limit.
  1: bool is_owner
  2: bool granted
  /// After what time the next request may be granted.
  3: i64 retry_after_us
  /// Requests that the receiver was asked for in the last window, over those that
  /// its part of the limit allows in one. Absent in older builds.
  4: double usage
}
