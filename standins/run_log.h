#ifndef STANDINS_RUN_LOG_H_
#define STANDINS_RUN_LOG_H_

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace damaskroute::standins {

/// Log of the calls of a backend server: each run of an action with its attempt and request id, and
/// the number of requests received per request id.
class RunLog {
 public:
  /// Counts a received request. Keeps the counts of the latest `length` request ids.
  void RecordRequest(const std::string& request_id, std::uint64_t length);

  /// Records that an action has started to run. Returns its number of runs, this one included. All
  /// actions are kept, because a second run violates the at-most-once guarantee however late it is.
  std::uint64_t RecordActionRun(const std::string& action_id, std::uint32_t attempt,
                                const std::string& request_id);

  std::uint64_t RequestCount(const std::string& request_id) const;
  std::uint64_t RunCount(const std::string& action_id) const;

  /// `{"actions":[{"action_id","attempt","request_id"}],"wire":{"REQUEST_ID":count}}`.
  std::string ToJson() const;

 private:
  struct ActionRun {
    std::string action_id;
    std::uint32_t attempt = 0;
    std::string request_id;
  };

  std::deque<ActionRun> actions_;
  std::unordered_map<std::string, std::uint64_t> action_runs_;
  std::unordered_map<std::string, std::uint64_t> request_counts_;
  std::deque<std::string> request_order_;
};

}  // namespace damaskroute::standins

#endif  // STANDINS_RUN_LOG_H_
