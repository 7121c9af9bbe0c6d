#include "damaskroute/store/http_vm_list.h"

#include "fmt/format.h"
#include "http_call.h"

namespace damaskroute {

HttpVmList::HttpVmList(const Endpoint& endpoint, std::chrono::milliseconds call_deadline)
    : base_url_(internal::BaseUrl(endpoint)), call_deadline_(call_deadline) {}

absl::StatusOr<VmList> HttpVmList::Read() {
  web::http::http_request request(web::http::methods::GET);
  request.set_request_uri("/vms");
  internal::HttpCallResult result = internal::CallOnce(base_url_, request, call_deadline_);
  if (result.status != 200) {
    return absl::UnavailableError(
        fmt::format("the VM list cannot be read: status {} {}", result.status, result.error));
  }
  auto list = ParseVmList(result.body);
  if (!list.ok()) return absl::UnavailableError(std::string{list.status().message()});
  return list;
}

}  // namespace damaskroute
