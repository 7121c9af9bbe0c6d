#include "damaskroute/store/http_threads.h"

// Must precede pplx, which includes Boost.Asio.
#include "damaskroute/core/asio.h"
//
#include <pplx/threadpool.h>

#include <exception>

namespace damaskroute {

bool InitializeHttpThreads() {
  // The idle threads of the default pool of 40 cost scheduling time on small VMs.
  static const bool initialized = [] {
    try {
      crossplat::threadpool::initialize_with_threads(4);
      return true;
    } catch (const std::exception&) {
      return false;
    }
  }();
  return initialized;
}

}  // namespace damaskroute
