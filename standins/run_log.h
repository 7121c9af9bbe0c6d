#ifndef STANDINS_RUN_LOG_H_
#define STANDINS_RUN_LOG_H_

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace damaskroute::standins {

/// What a backend server ran: each action that ran with its attempt and request id, and the
/// number of requests on the wire per request id.
class RunLog {
 public:
  /// Counts a request read from a connection. Keeps the last `length` request ids.
  void CountWire(const std::string& request_id, std::uint64_t length);

  /// Records that an action started to run and returns how often it has, this run included. All
  /// actions are kept, as a repeat after any time breaks the at-most-once guarantee.
  std::uint64_t AddAction(const std::string& action_id, std::uint32_t attempt,
                          const std::string& request_id);

  std::uint64_t WireCount(const std::string& request_id) const;
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
  std::unordered_map<std::string, std::uint64_t> wire_;
  std::deque<std::string> wire_order_;
};

}  // namespace damaskroute::standins

#endif  // STANDINS_RUN_LOG_H_
