#ifndef DAMASKROUTE_STORE_MEMORY_STORE_FAULTS_H_
#define DAMASKROUTE_STORE_MEMORY_STORE_FAULTS_H_

namespace damaskroute {

/// Faults of a `MemoryStore`. A slow store fails calls as if they had reached their deadline, but
/// at once, so that tests do not depend on time.
struct MemoryStoreFaults {
  bool down = false;       ///< Every call fails with Unavailable and has no effect.
  bool slow = false;       ///< Reads are Unavailable; writes are Unknown and have no effect.
  int lost_responses = 0;  ///< Number of next writes that take effect as usual but return Unknown.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_STORE_MEMORY_STORE_FAULTS_H_
