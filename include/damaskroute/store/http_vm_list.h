#ifndef DAMASKROUTE_STORE_HTTP_VM_LIST_H_
#define DAMASKROUTE_STORE_HTTP_VM_LIST_H_

#include <chrono>
#include <string>

#include "absl/status/statusor.h"
#include "damaskroute/core/endpoint.h"
#include "damaskroute/store/vm_list.h"

namespace damaskroute {

/// Reads the platform's VM list over HTTP. Calls block and may be made from several threads.
class HttpVmList {
 public:
  /// `call_deadline` bounds each call as a whole.
  HttpVmList(const Endpoint& endpoint, std::chrono::milliseconds call_deadline);

  /// Returns the platform's current list. Unavailable if it cannot be read or is malformed.
  absl::StatusOr<VmList> Read();

 private:
  Endpoint endpoint_;
  std::chrono::milliseconds call_deadline_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_STORE_HTTP_VM_LIST_H_
