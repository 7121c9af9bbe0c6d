#ifndef DAMASKROUTE_FORWARD_QUERY_PLACE_H_
#define DAMASKROUTE_FORWARD_QUERY_PLACE_H_

#include "damaskroute/core/time.h"
#include "damaskroute/forward/forward_run.h"
#include "damaskroute/forward/overload_limit.h"

namespace damaskroute {

/// One query's place in the limit of the queries over its shards: taken before it starts, free
/// again when it only waits for its last parts.
class QueryPlace {
 public:
  /// Takes a place for `run`, which has not started. False if there is none. Under pressure the run
  /// sends no copies. `limit` outlives this object.
  bool Take(OverloadLimit& limit, bool urgent, ForwardRun& run, TimePoint now);

  /// A call of the run ended.
  void OnProgress(const ForwardRun& run);

  /// The run ended. Further calls have no effect.
  void Release(const ForwardRun& run, TimePoint now);

 private:
  void Leave();

  OverloadLimit* limit_ = nullptr;  // Until the run has ended.
  bool left_ = false;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_QUERY_PLACE_H_
