#ifndef IBISMUX_CUSTOMERS_TOKEN_BUCKET_H_
#define IBISMUX_CUSTOMERS_TOKEN_BUCKET_H_

#include "ibismux/base/time.h"

namespace ibismux::customers {

/// Grants requests at a steady rate and a burst in addition.
///
/// Starts empty, and refills faster at first, so that customers with small
/// rates don't wait for their first tokens. In any span of time, at most
/// starting rate x span + capacity requests are granted.
/// The times passed in must not decrease. Not thread safe.
class TokenBucket {
 public:
  struct Size {
    double per_second = 0;
    double capacity = 0;
    /// Rate during the first `start`; not less than `per_second`.
    double starting_per_second = 0;
    Duration start{0};
  };

  TokenBucket(Size size, TimePoint now);

  /// Takes a token if there is one.
  [[nodiscard]] bool take(TimePoint now);

  /// When the next token that no one has been promised is available. Each call
  /// promises another one, so that callers that were refused together don't
  /// return together.
  [[nodiscard]] Duration promise_next(TimePoint now);

  /// Changes rate and capacity. Tokens beyond the capacity are lost.
  void resize(Size size, TimePoint now);

  /// Whether it holds all that it can hold.
  [[nodiscard]] bool is_full(TimePoint now) const;

 private:
  [[nodiscard]] double level_at(TimePoint now) const;
  [[nodiscard]] Duration time_to_earn(double tokens, TimePoint from) const;
  void refill(TimePoint now);

  Size size;
  double level = 0;
  const TimePoint created_at;
  TimePoint refilled_at;
  TimePoint promised_until;
};

}  // namespace ibismux::customers

#endif  // IBISMUX_CUSTOMERS_TOKEN_BUCKET_H_
