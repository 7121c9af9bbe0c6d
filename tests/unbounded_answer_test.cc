#include <doctest/doctest.h>

#include <chrono>

#include "damaskroute/http/backend_client_options.h"
#include "damaskroute/store/http_store.h"
#include "damaskroute/store/http_vm_list.h"
#include "tests/support/flood_server.h"
#include "tests/support/floods.h"

// Guards against answers without end on the product's own interfaces, as `unbounded_message_test`
// does on the users' platform.

namespace damaskroute {
namespace {

using std::chrono::seconds;

TEST_CASE("an endless answer of the store or the VM list is aborted at a fixed size") {
  standins::LoopThread servers;
  for (const Flood& flood : Floods()) {
    CAPTURE(flood.name);
    std::uint64_t max_bytes =
        flood.bytes_per_body_byte * BackendClientOptions().max_body_bytes + kSocketBufferBytes;
    FloodServer server(servers, flood.start, flood.filler);
    CHECK(!HttpStore(server.endpoint(), seconds(2)).Get("key").ok());
    CHECK(server.sent() < max_bytes);
    FloodServer vm_list(servers, flood.start, flood.filler);
    CHECK(!HttpVmList(vm_list.endpoint(), seconds(2)).Read().ok());
    CHECK(vm_list.sent() < max_bytes);
  }
}

}  // namespace
}  // namespace damaskroute
