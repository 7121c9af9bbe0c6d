#ifndef DAMASKROUTE_STORE_MEMORY_STORE_FAULTS_H_
#define DAMASKROUTE_STORE_MEMORY_STORE_FAULTS_H_

namespace damaskroute {

/// Faults of a `MemoryStore`. A slow store stands for calls that reach their deadline; no time
/// passes, so tests do not depend on it.
struct MemoryStoreFaults {
  bool down = false;     ///< Each call is refused with Unavailable, without effect.
  bool slow = false;     ///< Reads are Unavailable; writes are Unknown and have no effect.
  int lost_answers = 0;  ///< So many next writes take effect if they can, and are Unknown.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_STORE_MEMORY_STORE_FAULTS_H_
