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
}

/// The response to kRateRequest.
struct RateReply {
  /// False if the receiver doesn't own a part of this limit.
  1: bool is_owner
  2: bool granted
  /// After what time the next request may be granted.
  3: i64 retry_after_us
}
