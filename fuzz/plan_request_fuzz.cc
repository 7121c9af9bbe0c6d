#include <cstdint>
#include <string>

#include "damaskroute/intent/plan_request.h"

// Parses arbitrary request bodies of the operators' interface.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  std::string body(reinterpret_cast<const char*>(data), size);
  (void)damaskroute::ParsePlanRequest(body);
  (void)damaskroute::ParseConfirmRequest(body);
  return 0;
}
