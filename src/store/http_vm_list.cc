#include "damaskroute/store/http_vm_list.h"

#include "fmt/format.h"
#include "http_call.h"

namespace damaskroute {

HttpVmList::HttpVmList(const Endpoint& endpoint, std::chrono::milliseconds call_deadline)
    : endpoint_(endpoint), call_deadline_(call_deadline) {}

absl::StatusOr<VmList> HttpVmList::Read() {
  internal::HttpCallResult result =
      internal::CallPlatform(endpoint_, {"GET", "/vms", "", ""}, call_deadline_);
  if (result.status != 200) {
    return absl::UnavailableError(
        fmt::format("the VM list cannot be read: status {} {}", result.status, result.error));
  }
  auto list = ParseVmList(result.body);
  if (!list.ok()) return absl::UnavailableError(std::string{list.status().message()});
  return list;
}

}  // namespace damaskroute
