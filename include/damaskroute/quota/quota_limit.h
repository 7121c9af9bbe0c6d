#ifndef DAMASKROUTE_QUOTA_QUOTA_LIMIT_H_
#define DAMASKROUTE_QUOTA_QUOTA_LIMIT_H_

namespace damaskroute {

/// Token bucket of one tenant over all nodes.
struct QuotaLimit {
  double rate_per_s = 0;
  double burst = 0;  ///< Depth of the bucket.

  friend bool operator==(const QuotaLimit&, const QuotaLimit&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_QUOTA_QUOTA_LIMIT_H_
