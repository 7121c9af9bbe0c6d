#ifndef DAMASKROUTE_QUOTA_QUOTA_BUCKET_H_
#define DAMASKROUTE_QUOTA_QUOTA_BUCKET_H_

#include "damaskroute/core/time.h"
#include "damaskroute/quota/quota_table.h"

namespace damaskroute {

/// Token bucket of a fraction of a tenant's quota. Times are of the boot clock and ascend.
class QuotaBucket {
 public:
  /// Begins empty.
  QuotaBucket(QuotaLimit limit, double fraction, Duration now);

  /// Changes the limit; tokens above the new maximum are dropped.
  void SetLimit(QuotaLimit limit, Duration now);

  /// Changes the fraction. Adding brings no tokens; tokens above the new maximum are dropped.
  void SetFraction(double fraction, Duration now);

  /// Adds what `fraction` of the quota has accumulated in `idle`, in which nobody used it.
  void Credit(double fraction, Duration idle);

  /// Takes up to `count` whole tokens such that `reserve` are left; returns the number taken.
  int Take(int count, double reserve, Duration now);

  /// Time until there is a whole token; `Duration::max()` if there never is one.
  Duration NextTokenIn(Duration now);

  /// Time in which an empty bucket accumulates the tokens that are left; `Duration::max()` if it
  /// accumulates none.
  Duration FillTime(Duration now);

  double max_level() const { return fraction_ * Depth(); }
  const QuotaLimit& limit() const { return limit_; }

 private:
  double Depth() const;
  void Settle(Duration now);

  QuotaLimit limit_;
  double fraction_;
  double level_ = 0;  // At `at_`.
  Duration at_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_QUOTA_QUOTA_BUCKET_H_
