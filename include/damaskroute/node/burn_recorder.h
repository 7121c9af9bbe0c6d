#ifndef DAMASKROUTE_NODE_BURN_RECORDER_H
#define DAMASKROUTE_NODE_BURN_RECORDER_H

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

#include "damaskroute/burn/minute_counts.h"
#include "damaskroute/core/snapshot.h"
#include "damaskroute/node/node_view.h"

namespace damaskroute {

/// Samples the counters of all fronts once a minute and keeps the differences over the budget
/// period for the burn report.
class BurnRecorder {
 public:
  explicit BurnRecorder(const Snapshot<NodeView>& view);
  ~BurnRecorder();
  BurnRecorder(const BurnRecorder&) = delete;
  BurnRecorder& operator=(const BurnRecorder&) = delete;

  /// Input of the burn report, including the current minute.
  std::vector<FrontCounters> Counters();

 private:
  struct Totals {
    std::uint64_t complete = 0;
    std::uint64_t partial = 0;
    std::uint64_t failed = 0;
    std::uint64_t late = 0;
  };
  struct FrontHistory {
    Totals last;
    std::vector<MinuteCounts> minutes;
  };

  void Run();
  void CloseMinute();
  static Totals Read(const FrontMetrics& metrics);
  static MinuteCounts Difference(const Totals& now, const Totals& before);

  const Snapshot<NodeView>& view_;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool stopping_ = false;
  std::map<FrontName, FrontHistory> histories_;
  std::thread thread_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_BURN_RECORDER_H
